"""Tests of the memory of buffered request bodies."""

import pytest

from chivepier.gateway.serving.bodymemory import BodyMemory
from chivepier.gateway.serving.bodymemory import SMALL_BODY_BYTES
from chivepier.types import RequestError

MAX_BYTES = 1 << 20


def test_small_bodies_are_taken_beside_large_ones_that_never_end():
    # A few large ones kept all others out.
    memory = BodyMemory(MAX_BYTES, SMALL_BODY_BYTES)
    with memory.allocate() as large, memory.allocate() as small:
        large.extend(MAX_BYTES)
        assert memory.is_scarce
        small.extend(SMALL_BODY_BYTES)
        with pytest.raises(RequestError):
            small.extend(1)
        with pytest.raises(RequestError):
            large.extend(1)
        assert memory.used_bytes == MAX_BYTES + SMALL_BODY_BYTES
    assert memory.used_bytes == 0
    assert not memory.is_scarce


def test_memory_without_free_bytes_is_never_exceeded():
    # Where each takes the same there is nobody to make room for.
    memory = BodyMemory(MAX_BYTES)
    with memory.allocate() as first, memory.allocate() as second:
        first.extend(MAX_BYTES)
        with pytest.raises(RequestError):
            second.extend(1)
