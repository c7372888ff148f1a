"""Tests of the queue for a peer that reads more slowly than it is sent to."""

import asyncio

from chivepier.messages import FreshRequest
from chivepier.types import ManualClock
from chivepier.wire import Channel
from chivepier.wire import Faults
from chivepier.wire.frame import load_frame
from chivepier.wire.linkerror import LinkError
from chivepier.wire.outbox import MAX_BATCH_PARTS
from chivepier.wire.traffic import Traffic

PEER = "127.0.0.1:1"
# Rate of one-way messages to a peer that reads nothing.
MESSAGES_PER_SECOND = 100
# Version in the last message of a test.
LAST_VERSION = 1_000_000


class SlowSocket:
    """A connection whose writes block until ``writable`` is set."""

    def __init__(self) -> None:
        self.sent_frames: list[bytes] = []
        self.writable = asyncio.Event()
        self.blocked = asyncio.Event()

    async def send(self, data: bytes) -> None:
        """Record a frame once the socket is writable."""
        self.blocked.set()
        await self.writable.wait()
        self.sent_frames.append(data)

    def __aiter__(self) -> "SlowSocket":
        return self

    async def __anext__(self) -> bytes:
        await asyncio.Future()

    async def close(self) -> None:
        """Do nothing: the socket holds no resources."""

    async def drain(self, channel: Channel) -> None:
        """Make the socket writable and wait until the queue is sent."""
        self.writable.set()
        channel.send(FreshRequest("a", 1, LAST_VERSION))
        while LAST_VERSION not in self.read_versions():
            await asyncio.sleep(0)

    def read_versions(self) -> list[int]:
        """Return the versions in the messages, in the order of sending."""
        parts = [
            part for data in self.sent_frames for part in load_frame(data)
        ]
        return [value.version for _, _, value in parts]


def run_blocked(test) -> None:
    """Run a test over a channel whose socket does not accept writes yet."""

    async def work():
        clock, socket = ManualClock(), SlowSocket()
        channel = Channel(
            socket, PEER, lambda *_: None, Faults(), Traffic(), clock
        )
        running = asyncio.create_task(channel.run())
        try:
            async with asyncio.timeout(10):
                await test(channel, socket, clock)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    asyncio.run(work())


async def send_updates(channel, socket, clock, seconds: int) -> int:
    """Send one-way messages for some seconds, and return their number."""
    channel.send(FreshRequest("a", 1, 0))
    await socket.blocked.wait()
    for number in range(1, seconds * MESSAGES_PER_SECOND):
        clock.advance(1 / MESSAGES_PER_SECOND)
        channel.send(FreshRequest("a", 1, number))
    return seconds * MESSAGES_PER_SECOND


def test_queue_of_a_slow_peer_is_bounded():
    # A voter sent 300 entries more messages than they read, and its queues
    # filled its memory.
    async def test(channel, socket, clock):
        count = await send_updates(channel, socket, clock, 60)
        assert len(channel._outbox) <= 3 * MESSAGES_PER_SECOND
        await socket.drain(channel)
        # The newest messages arrive, in order.
        versions = socket.read_versions()[:-1]
        assert versions[-MESSAGES_PER_SECOND:] == list(
            range(count - MESSAGES_PER_SECOND, count)
        )
        assert versions == sorted(versions)
        assert channel._traffic.dropped_parts == count - len(versions)

    run_blocked(test)


def test_requests_are_kept_when_one_way_messages_expire():
    async def test(channel, socket, clock):
        await send_updates(channel, socket, clock, 1)
        pending_request = asyncio.create_task(
            channel.request(FreshRequest("a", 1, -1), 0.2)
        )
        await asyncio.sleep(0)
        await send_updates(channel, socket, clock, 9)
        await socket.drain(channel)
        assert -1 in socket.read_versions()
        await asyncio.gather(pending_request, return_exceptions=True)
        assert isinstance(pending_request.exception(), LinkError)

    run_blocked(test)


def test_queued_messages_are_encoded_in_bounded_batches():
    # The whole queue was encoded at once, for each of hundreds of peers.
    async def test(channel, socket, clock):
        channel.send(FreshRequest("a", 1, 0))
        await socket.blocked.wait()
        for number in range(5 * MAX_BATCH_PARTS):
            channel.send(FreshRequest("a", 1, number))
        await socket.drain(channel)
        largest = max(len(load_frame(data)) for data in socket.sent_frames)
        assert largest <= MAX_BATCH_PARTS

    run_blocked(test)
