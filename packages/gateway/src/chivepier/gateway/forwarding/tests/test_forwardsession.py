"""Tests of reads that cross at a forwarded answer."""

import asyncio

import pytest

from chivepier.gateway.forwarding.forwardsession import ForwardSession
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran

BROKEN = ForwardState.BROKEN.value
COMPLETE = ForwardState.COMPLETE.value
OPEN = ForwardState.OPEN.value


async def make_session(data: bytes = b"abcdef") -> ForwardSession:
    """Return an answer with a head and some bytes."""
    session = ForwardSession(1, "e0", LoopClock())
    await session.begin(200, (("A", "1"),), None)
    await session.write(data)
    return session


def test_read_is_repeated_with_the_same_answer():
    async def test():
        session = await make_session()
        first = await session.read(0, 0.5)
        assert await session.read(0, 0.5) == first
        assert (first.status, first.data, first.state) == (
            200,
            b"abcdef",
            OPEN,
        )
        await session.finish(framed=True)
        last = await session.read(2, 0.5)
        assert await session.read(2, 0.5) == last
        assert last.data == b"cdef"
        assert last.state == ForwardState.COMPLETE.value

    play_time(test())


def test_overtaken_read_gives_nothing_from_another_place():
    # Guards against bytes that are left out: what was read is dropped.
    async def test():
        session = await make_session()
        await session.read(6, 0.0)
        part = await session.read(0, 0.5)
        assert (part.state, part.data) == (BROKEN, b"")

        waiting = asyncio.create_task(session.read(6, 0.5))
        await asyncio.sleep(0.1)
        await session.write(b"ghi")
        await session.read(9, 0.0)
        part = await waiting
        assert (part.state, part.data) == (BROKEN, b"")

    play_time(test())


def test_read_beyond_what_was_written_drops_nothing():
    async def test():
        session = await make_session()
        part = await session.read(7, 0.5)
        assert (part.state, part.data) == (BROKEN, b"")
        part = await session.read(0, 0.5)
        assert (part.state, part.data) == (OPEN, b"abcdef")

    play_time(test())


FAILURE = Failure(ErrorKind.DRAINING, "trouble", Ran.NO)
ENDS = {
    "failed": lambda session: session.fail(FAILURE),
    "refused": lambda session: session.refuse("trouble"),
}


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_error_after_a_head_breaks_off_the_answer(end):
    # The other entry took what had run for not run, and sent it elsewhere.
    async def test():
        session = await make_session()
        end(session)
        part = await session.read(0, 0.5)
        assert (part.state, part.data, part.status) == (BROKEN, b"abcdef", 200)
        assert not part.kind and not part.message

    play_time(test())


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_error_after_the_end_changes_no_answer(end):
    # A whole answer was told as failed.
    async def test():
        session = await make_session()
        await session.finish(framed=True)
        end(session)
        part = await session.read(0, 0.5)
        assert (part.state, part.data) == (COMPLETE, b"abcdef")

    play_time(test())


def test_answer_has_one_head():
    # The status that was told late would belong to bytes that came before.
    async def test():
        session = await make_session()
        with pytest.raises(RuntimeError):
            await session.begin(500, (), 3)
        part = await session.read(0, 0.5)
        assert (part.status, part.data) == (200, b"abcdef")

    play_time(test())
