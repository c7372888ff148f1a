"""Tests of the memory of answers that are read whole."""

import asyncio

import pytest

from chivepier.gateway.serving.answermemory import AnswerMemory
from chivepier.gateway.serving.answermemory import FREE_BYTES
from chivepier.gateway.serving.errors import BrokenAnswerError

MAX_BYTES = 1 << 20
STEP_BYTES = 1 << 10


def fill(allocation) -> int:
    """Extend an allocation until it is refused, and return its size."""
    with pytest.raises(BrokenAnswerError):
        while True:
            allocation.extend(STEP_BYTES)
    return allocation.used_bytes


def test_endless_answers_leave_room_for_others():
    async def work():
        memory = AnswerMemory(MAX_BYTES)
        sizes = [fill(await memory.open()) for _ in range(100)]
        assert sizes[0] > sizes[50] >= FREE_BYTES - STEP_BYTES
        assert memory.used_bytes < MAX_BYTES + 100 * FREE_BYTES
        (await memory.open()).extend(FREE_BYTES)

    asyncio.run(work())


def test_freed_memory_can_be_used_again():
    async def work():
        memory = AnswerMemory(MAX_BYTES)
        first = await memory.open()
        size = fill(first)
        first.close()
        first.close()
        assert memory.used_bytes == 0
        assert fill(await memory.open()) == size

    asyncio.run(work())


@pytest.mark.parametrize("length", (1, FREE_BYTES - 1, MAX_BYTES))
def test_answers_with_a_length_never_take_more_than_there_is(length):
    # Each had its free bytes whatever the others had.
    async def work():
        memory = AnswerMemory(MAX_BYTES)
        openings = [
            asyncio.create_task(memory.open(length)) for _ in range(100)
        ]
        for opening in openings:
            allocation = await opening
            assert memory.used_bytes <= MAX_BYTES
            allocation.extend(min(length, FREE_BYTES))
            assert memory.used_bytes <= MAX_BYTES
            allocation.close()
        assert memory.used_bytes == 0
        assert not memory.is_scarce

    asyncio.run(work())


@pytest.mark.parametrize("is_granted", (False, True))
def test_answer_given_up_while_it_waits_takes_nothing(is_granted):
    # What a request that has ended waits for must not be lost to others.
    async def work():
        memory = AnswerMemory(FREE_BYTES)
        first = await memory.open(FREE_BYTES)
        second = asyncio.create_task(memory.open(FREE_BYTES))
        third = asyncio.create_task(memory.open(FREE_BYTES))
        await asyncio.sleep(0)
        assert memory.is_scarce
        if is_granted:
            first.close()
        second.cancel()
        await asyncio.wait({second})
        first.close()
        (await third).close()
        assert memory.used_bytes == 0

    asyncio.run(work())
