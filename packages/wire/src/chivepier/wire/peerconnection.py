"""Server side of one connection, which may be a peer's."""

import asyncio

from websockets.asyncio.server import ServerConnection

from chivepier.wire.handshakegate import HandshakeGate


class PeerConnection(ServerConnection):
    """Is bounded until it has presented the cluster key.

    The library bounds each line of a handshake, but neither what it reads nor
    how many there are.

    :param gate: bounds all such connections
    :ivar refused: whether it was closed for what it brought
    """

    def __init__(self, *args, gate: HandshakeGate, **options):
        super().__init__(*args, **options)
        self._gate = gate
        self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a handshake."""
        super().connection_made(transport)
        self._gate.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes unless there are too many without a handshake."""
        if self._gate.may_read(self, len(data)):
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait for it no longer."""
        self._gate.remove(self)
        super().connection_lost(exc)

    def accept_peer(self) -> None:
        """Record that it has presented the key."""
        self._gate.remove(self)

    def refuse(self) -> None:
        """Close the connection at once."""
        self.refused = True
        self.transport.abort()
