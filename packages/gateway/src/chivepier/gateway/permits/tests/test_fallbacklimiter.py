"""Tests of the rate limit of entries without a leader."""

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
def test_entries_without_leader_share_the_rate(entries):
    # If each entry started with a send, hundreds would reach a target at once.
    moments = []
    for number in range(entries):
        limiter = FallbackLimiter(random.Random(number))
        limiter.reset(entries)
        for step in range(int(SECONDS / 0.1)):
            now = 0.1 * step
            if limiter.acquire("i1", RATE, Claim(), now).granted:
                moments.append(now)
    assert 0.7 * RATE * SECONDS <= len(moments) <= RATE * SECONDS + entries
    # random start times let some windows exceed the mean
    assert count_busiest(moments) <= 1.5 * RATE * WINDOW + 5


def test_each_reset_draws_a_new_start():
    # An entry that has been idle for long must not start with a send.
    limiter = FallbackLimiter(random.Random(1))
    granted = 0
    for _ in range(50):
        limiter.reset(100)
        granted += limiter.acquire("i1", RATE, Claim(), 1e6).granted
    assert granted <= 5


def test_claim_waits_for_its_turn():
    limiter = FallbackLimiter(random.Random(1))
    limiter.reset(2)
    first = limiter.acquire("i1", 1.0, Claim(max_wait=2.0), 0.0)
    second = limiter.acquire("i1", 1.0, Claim(max_wait=9.0), 0.0)
    assert second.wait - first.wait == pytest.approx(2.0)
