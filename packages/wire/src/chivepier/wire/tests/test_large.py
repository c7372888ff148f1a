"""Tests of messages that are larger than one batch."""

import asyncio

from chivepier.messages import SyncAnswer
from chivepier.messages import SyncRequest
from chivepier.types import SystemClock
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
# The packed state of 49,000 teams is 9.3 MB.
STATE = bytes(10_000_000)


async def fetch(count: int) -> list[SyncAnswer]:
    """Request large answers concurrently over a real link."""

    def handle(message, channel):
        return SyncAnswer(message.index, (), STATE)

    async with PeerServer(
        "127.0.0.1", 0, handle, KEY, SystemClock()
    ) as server:
        links = Links("127.0.0.1:1", KEY, handle, server.faults, SystemClock())
        async with links:
            peer = f"127.0.0.1:{server.port}"
            return await asyncio.gather(
                *(
                    links.request(peer, SyncRequest(i), 20.0)
                    for i in range(count)
                )
            )


def test_largest_state_fits_into_one_frame():
    """An instance that starts without stored data fetches the whole state.

    An answer above the frame limit closes the link each time: the instance
    retries and never becomes ready.
    """
    (answer,) = asyncio.run(fetch(1))
    assert answer.snapshot == STATE


def test_large_answers_are_split_into_frames():
    answers = asyncio.run(fetch(8))
    assert [a.commit for a in answers] == list(range(8))
