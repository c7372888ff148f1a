"""Tests of when callers that were refused may come back."""

import random

from chivepier.gateway.serving import Returns
from chivepier.gateway.serving.returns import MOST_SECONDS

RATE = 4.0
ENTRIES = 7


def test_callers_of_all_entries_come_back_at_the_rate():
    books = [Returns(random.Random(n)) for n in range(ENTRIES)]
    moments = []
    for number in range(70):
        now = 0.01 * number
        book = books[number % ENTRIES]
        moments.append(now + book.book("s", RATE, ENTRIES, now))
    for first in moments:
        together = sum(first <= at < first + 4.0 for at in moments)
        assert together <= 4.0 * RATE + ENTRIES
    assert max(moments) <= 70 / RATE + 2.0


def test_nobody_is_told_to_come_back_after_all_has_changed():
    returns = Returns(random.Random(1))
    told = [returns.book("s", RATE, ENTRIES, 0.0) for _ in range(500)]
    assert max(told) <= MOST_SECONDS
    late = told[100:]
    # spread all the same
    assert min(late) >= MOST_SECONDS / 2
    assert max(late) - min(late) > MOST_SECONDS / 4


def test_services_have_moments_of_their_own():
    returns = Returns(random.Random(1))
    for _ in range(10):
        returns.book("a", RATE, 1, 0.0)
    assert returns.book("b", RATE, 1, 0.0) == 1 / RATE
