"""Tests of what entries send without a leader."""

import random

import pytest

from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import FallbackLimiter

RATE = 1.5
SECONDS = 60.0
WINDOW = 4.0


def count_busiest(moments: list[float]) -> int:
    """Count the sends in the busiest window."""
    moments = sorted(moments)
    return max(
        sum(first <= at < first + WINDOW for at in moments)
        for first in moments
    )


@pytest.mark.parametrize("entries", (1, 7, 75, 191))
def test_entries_alone_send_the_rate_together(entries):
    # Each entry began with a send, and hundreds came to a target at once.
    moments = []
    for number in range(entries):
        part = FallbackLimiter(random.Random(number))
        part.reset(entries)
        for step in range(int(SECONDS / 0.1)):
            now = 0.1 * step
            if part.acquire("i1", RATE, Claim(), now).granted:
                moments.append(now)
    assert 0.7 * RATE * SECONDS <= len(moments) <= RATE * SECONDS + entries
    # at random moments, a window holds more than the mean now and then
    assert count_busiest(moments) <= 1.5 * RATE * WINDOW + 5


def test_each_begin_draws_anew():
    # An entry that has sent nothing for long does not begin with a send.
    part = FallbackLimiter(random.Random(1))
    granted = 0
    for _ in range(50):
        part.reset(100)
        granted += part.acquire("i1", RATE, Claim(), 1e6).granted
    assert granted <= 5


def test_claim_waits_for_its_moment():
    part = FallbackLimiter(random.Random(1))
    part.reset(2)
    first = part.acquire("i1", 1.0, Claim(patience=2.0), 0.0)
    second = part.acquire("i1", 1.0, Claim(patience=9.0), 0.0)
    assert second.wait - first.wait == pytest.approx(2.0)
