"""Server side of the peer links."""

import asyncio
import functools
import hmac
import logging

import websockets
from websockets.asyncio.server import serve

from chivepier.types import Clock
from chivepier.wire.channel import Channel
from chivepier.wire.channel import CLOSE_SECONDS
from chivepier.wire.channel import Handler
from chivepier.wire.faults import Faults
from chivepier.wire.handshakegate import HandshakeGate
from chivepier.wire.peerconnection import PeerConnection
from chivepier.wire.traffic import Traffic

KEY_HEADER = "x-chivepier-key"
PEER_HEADER = "x-chivepier-peer"
# A snapshot of the whole state is sent as one frame.
MAX_FRAME_BYTES = 32 << 20
UNAUTHORIZED = 401
# Seconds for a handshake; a peer on a busy machine may stand still for some.
HANDSHAKE_SECONDS = 5.0
# Connections without a handshake at a time: as many peers may come back at
# once.
DEFAULT_MAX_PENDING = 512


class PeerServer:
    """Accepts connections of peers that present the cluster key.

    :param host: address to listen on
    :param port: port to listen on; 0 for any free port
    :param handler: handles messages that peers send
    :param key: the cluster key, shared by all processes of a cluster
    :param clock: measures the age of messages and the silence of peers
    :param max_pending: connections without a handshake at a time
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        key: str,
        clock: Clock,
        max_pending: int = DEFAULT_MAX_PENDING,
    ):
        self._gate = HandshakeGate(max_pending, clock)
        self._host = host
        self._port = port
        self._handler = handler
        self._key = key
        self._clock = clock
        self.faults = Faults()
        self.traffic = Traffic()
        self._server = None

    async def __aenter__(self) -> "PeerServer":
        self._server = await serve(
            self._serve,
            self._host,
            self._port,
            process_request=self._check,
            create_connection=functools.partial(
                PeerConnection, gate=self._gate
            ),
            open_timeout=HANDSHAKE_SECONDS,
            logger=_make_silent_logger(),
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            close_timeout=CLOSE_SECONDS,
        )
        return self

    async def __aexit__(self, *exc) -> None:
        self._server.close()
        await self._server.wait_closed()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    def _check(self, connection, request):
        given = request.headers.get(KEY_HEADER, "")
        if not hmac.compare_digest(given.encode(), self._key.encode()):
            return connection.respond(UNAUTHORIZED, "cluster key refused\n")
        connection.accept_peer()
        return None

    async def _serve(self, socket: websockets.ServerConnection) -> None:
        peer = socket.request.headers.get(PEER_HEADER, "")
        channel = Channel(
            socket,
            peer,
            self._handler,
            self.faults,
            self.traffic,
            self._clock,
        )
        watch = asyncio.create_task(channel.guard(channel.await_end()))
        try:
            await channel.run()
        finally:
            watch.cancel()


def _make_silent_logger() -> logging.Logger:
    """Return a logger that writes nothing.

    The library writes a stack trace for each handshake that fails.
    """
    logger = logging.Logger("links", logging.CRITICAL)
    logger.addHandler(logging.NullHandler())
    return logger
