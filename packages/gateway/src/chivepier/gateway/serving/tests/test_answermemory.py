"""Tests of the memory of answers that are read whole."""

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
    memory = AnswerMemory(MAX_BYTES)
    sizes = [fill(memory.open()) for _ in range(100)]
    assert sizes[0] > sizes[50] >= FREE_BYTES - STEP_BYTES
    assert memory.used_bytes < MAX_BYTES + 100 * FREE_BYTES
    memory.open().extend(FREE_BYTES)


def test_freed_memory_can_be_used_again():
    memory = AnswerMemory(MAX_BYTES)
    first = memory.open()
    size = fill(first)
    first.close()
    first.close()
    assert memory.used_bytes == 0
    assert fill(memory.open()) == size
