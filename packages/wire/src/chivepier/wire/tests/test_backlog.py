"""Tests of what waits for a peer that is slower than its news."""

import asyncio

from chivepier.messages import FreshRequest
from chivepier.types import ManualClock
from chivepier.wire import Channel
from chivepier.wire import Faults
from chivepier.wire.frame import load_frame
from chivepier.wire.linkerror import LinkError
from chivepier.wire.outbox import MOST_PARTS
from chivepier.wire.traffic import Traffic

PEER = "127.0.0.1:1"
# News a second, for a peer that takes nothing.
RATE = 100
# Number of the last message of a test.
LAST = 1_000_000


class SlowSocket:
    """A connection that takes bytes only when it is told to."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []
        self.open = asyncio.Event()
        self.full = asyncio.Event()

    async def send(self, data: bytes) -> None:
        """Take a frame, later."""
        self.full.set()
        await self.open.wait()
        self.taken.append(data)

    def __aiter__(self) -> "SlowSocket":
        return self

    async def __anext__(self) -> bytes:
        await asyncio.Future()

    async def close(self) -> None:
        """Nothing is kept."""

    async def take_all(self, channel: Channel) -> None:
        """Take everything that waits."""
        self.open.set()
        channel.send(FreshRequest("a", 1, LAST))
        while LAST not in self.read_numbers():
            await asyncio.sleep(0)

    def read_numbers(self) -> list[int]:
        """Return the numbers of the messages, as the peer gets them."""
        parts = [part for data in self.taken for part in load_frame(data)]
        return [value.version for _, _, value in parts]


def play(test) -> None:
    """Run a test over a channel whose peer takes nothing yet."""

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


async def post_news(channel, socket, clock, seconds: int) -> int:
    """Post news for some seconds, and return how many."""
    channel.send(FreshRequest("a", 1, 0))
    await socket.full.wait()
    for number in range(1, seconds * RATE):
        clock.advance(1 / RATE)
        channel.send(FreshRequest("a", 1, number))
    return seconds * RATE


def test_news_that_waits_for_a_slow_peer_is_bounded():
    # A voter told 300 entries more than they took, and its memory was full.
    async def test(channel, socket, clock):
        count = await post_news(channel, socket, clock, 60)
        assert len(channel._outbox) <= 3 * RATE
        await socket.take_all(channel)
        # the newest are not lost, and come in order
        numbers = socket.read_numbers()[:-1]
        assert numbers[-RATE:] == list(range(count - RATE, count))
        assert numbers == sorted(numbers)
        assert channel._traffic.dropped_parts == count - len(numbers)

    play(test)


def test_questions_are_kept_among_news_that_is_dropped():
    async def test(channel, socket, clock):
        await post_news(channel, socket, clock, 1)
        asking = asyncio.create_task(
            channel.request(FreshRequest("a", 1, -1), 0.2)
        )
        await asyncio.sleep(0)
        await post_news(channel, socket, clock, 9)
        await socket.take_all(channel)
        assert -1 in socket.read_numbers()
        await asyncio.gather(asking, return_exceptions=True)
        assert isinstance(asking.exception(), LinkError)

    play(test)


def test_what_waits_is_encoded_by_and_by():
    # All that waited was encoded at once, for each of hundreds of peers.
    async def test(channel, socket, clock):
        channel.send(FreshRequest("a", 1, 0))
        await socket.full.wait()
        for number in range(5 * MOST_PARTS):
            channel.send(FreshRequest("a", 1, number))
        await socket.take_all(channel)
        most = max(len(load_frame(data)) for data in socket.taken)
        assert most <= MOST_PARTS

    play(test)
