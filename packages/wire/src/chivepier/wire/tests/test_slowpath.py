"""Tests of links over a path that is slow, or loses what ends them."""

import asyncio
import contextlib

from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.wire import Faults
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire.server import KEY_HEADER
from chivepier.wire.server import PEER_HEADER

KEY = "key-of-tests"
REQUEST = FreshRequest("a", 1, 1)
PUSH_SECONDS = 0.05
# Longer than a ping may take; a path, or a peer that is short of time.
SLOW_SECONDS = 0.7
PLAYED_SECONDS = 60.0
# Connections to one peer that are open at once: the one that is used, and
# some that were replaced.
MAX_OPEN = 5


class SlowPeer:
    """Pushes to whom it has heard, on the newest connection."""

    def __init__(self):
        self.channel = None

    def handle(self, message, channel):
        """Answer a request."""
        self.channel = channel
        return FreshAnswer("b", 1, 2)

    async def push(self) -> None:
        """Push all the time."""
        while True:
            if self.channel is not None:
                self.channel.send(REQUEST)
            await asyncio.sleep(PUSH_SECONDS)


@contextlib.asynccontextmanager
async def connect():
    """Yield links, the address of a peer, and the peer."""
    clock, slow = LoopClock(), SlowPeer()
    async with (
        PeerServer("127.0.0.1", 0, slow.handle, KEY, clock) as server,
        Links("a:1", KEY, answer, Faults(), clock) as links,
    ):
        task = asyncio.create_task(slow.push())
        yield links, f"127.0.0.1:{server.port}", slow
        task.cancel()


def answer(message, channel):
    """Take what is pushed."""


def slow_down(channel) -> None:
    """Have what a channel sends arrive late, in order; pushes are prompt."""
    connection = channel._socket
    transport = connection.transport
    connection.transport = LateTransport(transport)


class LateTransport:
    """Writes what it is given some time later."""

    def __init__(self, transport):
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Write some time later."""
        loop = asyncio.get_running_loop()
        loop.call_later(SLOW_SECONDS, self._write, bytes(data))

    def _write(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def __getattr__(self, name):
        return getattr(self._transport, name)


def test_slow_path_with_traffic_does_not_take_connection_after_connection():
    # Guards against links replaced for ever that answer, but slowly.
    async def body():
        async with connect() as (links, peer, _):
            used, most = [], 0
            end = asyncio.get_running_loop().time() + PLAYED_SECONDS
            while asyncio.get_running_loop().time() < end:
                await links.request(peer, REQUEST, 5)
                channel = links._channels[peer]
                if channel not in used:
                    used.append(channel)
                    slow_down(channel)
                await asyncio.sleep(0.2)
                most = max(most, sum(not old.closed for old in used))
            assert most <= MAX_OPEN, (most, len(used))

    play_time(body())


HANDSHAKE = (
    "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
    f"{KEY_HEADER}: {KEY}\r\n{PEER_HEADER}: a:1\r\n\r\n"
)


def test_connection_from_which_nothing_comes_any_more_is_closed():
    # Guards against descriptors that links silent one way take for ever.
    async def body():
        async with connect() as (_, peer, _):
            host, port = peer.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(HANDSHAKE.encode())
            await reader.readuntil(b"\r\n\r\n")
            # its pings and its end are lost from here on
            async with asyncio.timeout(600):
                await reader.read()
            writer.close()

    play_time(body())
