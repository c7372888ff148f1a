"""Tests of the arrival rate at a cold target with delayed sends."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.permits import CONNECT_SECONDS
from chivepier.gateway.permits import MAX_PERMIT_SECONDS
from chivepier.gateway.permits import PERMIT_SECONDS
from chivepier.gateway.permits import SlidingWindowLimiter

# Permit lifetimes in whole milliseconds, which add up without rounding errors.
LIFETIMES_MS = [
    round(1000 * PERMIT_SECONDS),
    400,
    round(1000 * MAX_PERMIT_SECONDS),
]
PERMIT_REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 400),
        strategies.sampled_from(LIFETIMES_MS),
        strategies.floats(0.0, 0.999),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(PERMIT_REQUESTS, strategies.integers(1, 6))
def test_no_second_has_more_arrivals_than_the_limit(requests, most):
    # Entries request permits at any time; each permitted request arrives at
    # once or as late as the permit and the connection timeout allow.
    limiter, now, arrived = SlidingWindowLimiter(), 0, []
    for gap, lifetime, share in requests:
        now += gap
        latest = lifetime + round(1000 * CONNECT_SECONDS)
        if limiter.acquire("i1", most, now / 1000, lifetime / 1000):
            arrived.append(now + int(share * latest))
    for first in arrived:
        busy = sum(first <= moment < first + 1000 for moment in arrived)
        assert busy <= most
