"""Bounds of connections that have not presented the cluster key yet."""

import typing

import logbook

from chivepier.types import Clock

if typing.TYPE_CHECKING:
    from chivepier.wire.peerconnection import PeerConnection

# Bytes of a handshake; those of peers have a few hundred.
MAX_HANDSHAKE_BYTES = 8 << 10
# Interval of log lines about connections that were closed.
LOG_SECONDS = 5.0

log = logbook.Logger("link")


class HandshakeGate:
    """Closes what brings no handshake; links of peers are none of them.

    At the bound the connection that has waited for longest is closed.

    :param max_pending: connections without a handshake at a time
    :param clock: source of monotonic time
    """

    def __init__(self, max_pending: int, clock: Clock):
        self._max_pending = max_pending
        self._clock = clock
        # in the order of their arrival
        self._pending: dict["PeerConnection", int] = {}
        self._closed = 0
        self._logged_at: float | None = None

    @property
    def pending(self) -> int:
        """Number of connections without a handshake."""
        return len(self._pending)

    def add(self, connection: "PeerConnection") -> None:
        """Add a new connection."""
        self._pending[connection] = 0
        if len(self._pending) > self._max_pending:
            self._close(next(iter(self._pending)))

    def remove(self, connection: "PeerConnection") -> None:
        """Remove a connection that is closed, or that a peer has made."""
        self._pending.pop(connection, None)

    def may_read(self, connection: "PeerConnection", count: int) -> bool:
        """Tell whether bytes of a connection are to be parsed.

        :param connection: the connection
        :param count: number of bytes that have arrived
        """
        received = self._pending.get(connection)
        if received is None:
            return not connection.refused
        self._pending[connection] = received + count
        if received + count <= MAX_HANDSHAKE_BYTES:
            return True
        self._close(connection)
        return False

    def _close(self, connection: "PeerConnection") -> None:
        self.remove(connection)
        connection.refuse()
        self._closed += 1
        now = self._clock.monotonic()
        if self._logged_at is None or now - self._logged_at >= LOG_SECONDS:
            log.warn("{} connections without a handshake closed", self._closed)
            self._logged_at, self._closed = now, 0
