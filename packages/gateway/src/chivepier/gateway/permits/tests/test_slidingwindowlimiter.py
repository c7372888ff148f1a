"""Tests of what may arrive at a cold target, however late each send is."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.permits import CONNECT_SECONDS
from chivepier.gateway.permits import MAX_PERMIT_SECONDS
from chivepier.gateway.permits import PERMIT_SECONDS
from chivepier.gateway.permits import SlidingWindowLimiter

# Milliseconds, as times: whole numbers add up without error.
LAPSES = [round(1000 * PERMIT_SECONDS), 400, round(1000 * MAX_PERMIT_SECONDS)]
ASKED = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 400),
        strategies.sampled_from(LAPSES),
        strategies.floats(0.0, 0.999),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ASKED, strategies.integers(1, 6))
def test_no_second_sees_more_than_the_bound(asked, most):
    # Entries ask at any moment, and what they were given leave for arrives
    # at once or as late as a permit and a connection allow.
    ledger, now, arrived = SlidingWindowLimiter(), 0, []
    for gap, lapse, share in asked:
        now += gap
        latest = lapse + round(1000 * CONNECT_SECONDS)
        if ledger.acquire("i1", most, now / 1000, lapse / 1000):
            arrived.append(now + int(share * latest))
    for first in arrived:
        busy = sum(first <= moment < first + 1000 for moment in arrived)
        assert busy <= most
