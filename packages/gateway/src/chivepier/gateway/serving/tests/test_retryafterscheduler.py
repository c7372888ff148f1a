"""Tests of the retry delays of rejected callers."""

import random

from chivepier.gateway.serving import RetryAfterScheduler
from chivepier.gateway.serving.retryafterscheduler import MAX_DELAY_SECONDS

RATE = 4.0
ENTRIES = 7


def test_retries_of_all_entries_together_keep_to_the_rate():
    books = [RetryAfterScheduler(random.Random(n)) for n in range(ENTRIES)]
    moments = []
    for number in range(70):
        now = 0.01 * number
        book = books[number % ENTRIES]
        moments.append(now + book.schedule("s", RATE, ENTRIES, now))
    for first in moments:
        together = sum(first <= at < first + 4.0 for at in moments)
        assert together <= 4.0 * RATE + ENTRIES
    assert max(moments) <= 70 / RATE + 2.0


def test_retry_delay_has_a_maximum():
    returns = RetryAfterScheduler(random.Random(1))
    told = [returns.schedule("s", RATE, ENTRIES, 0.0) for _ in range(500)]
    assert max(told) <= MAX_DELAY_SECONDS
    late = told[100:]
    # still spread out
    assert min(late) >= MAX_DELAY_SECONDS / 2
    assert max(late) - min(late) > MAX_DELAY_SECONDS / 4


def test_services_are_scheduled_separately():
    returns = RetryAfterScheduler(random.Random(1))
    for _ in range(10):
        returns.schedule("a", RATE, 1, 0.0)
    assert returns.schedule("b", RATE, 1, 0.0) == 1 / RATE


def test_time_to_come_back_leaves_time_to_be_served():
    """Callers don't wait for longer than a third of the time they have."""
    returns = RetryAfterScheduler(random.Random(1))
    for drain in (0.0, 0.1, 5.0, 60.0):
        assert all(0.0 <= returns.spread(drain, 6.0) <= 2.0 for _ in range(9))
