"""Tests of fair scheduling at rate-limited targets."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import FairScheduler
from chivepier.gateway.permits.fairscheduler import MIN_SENDS_PER_SECOND
from chivepier.gateway.permits.fairscheduler import RESERVATION_SECONDS

LED_SINCE = -100.0


def make_scheduler() -> FairScheduler:
    """Make a scheduler with a fixed random seed."""
    return FairScheduler(random.Random(1))


class Callers:
    """Claims of several teams; a refused claim is repeated once when due."""

    def __init__(self, rate: float):
        self._scheduler = make_scheduler()
        self._rate = rate
        self.served = collections.Counter()
        self.granted: list[float] = []

    def play(self, seconds: float, asks: list[tuple[float, Claim]]) -> None:
        """Make claims of each kind at the given intervals."""
        coming = [
            (0.01 * place + interval * number, True, claim)
            for place, (interval, claim) in enumerate(asks)
            for number in range(int(seconds / interval))
        ]
        while coming:
            coming.sort(key=lambda ask: ask[0])
            now, new, claim = coming.pop(0)
            turn = self._scheduler.acquire(
                "i1", self._rate, claim, now, LED_SINCE
            )
            if turn.granted:
                self.served[(claim.urgency, claim.team)] += 1
                self.granted.append(now + turn.wait)
            elif new:
                coming.append((now + turn.wait, False, claim))


def test_team_that_claims_ten_times_as_often_gets_no_more():
    callers = Callers(2.0)
    callers.play(60.0, [(0.05, Claim("big")), (0.5, Claim("small"))])
    big, small = callers.served[(0, "big")], callers.served[(0, "small")]
    assert big + small >= 100
    assert small >= 0.45 * (big + small)


def test_urgent_class_goes_first_and_leaves_unused_turns():
    callers = Callers(2.0)
    callers.play(
        60.0, [(0.05, Claim("a", 1)), (0.05, Claim("b", 1)), (2.0, Claim("c"))]
    )
    assert callers.served[(0, "c")] >= 29
    others = callers.served[(1, "a")], callers.served[(1, "b")]
    assert sum(others) >= 70 and min(others) >= 0.4 * sum(others)


def test_patient_claims_do_not_take_all_future_turns():
    callers = Callers(2.0)
    patient = [(0.05, Claim("a", 1, max_wait=1.0))]
    callers.play(60.0, [*patient, (0.25, Claim("b", 0, max_wait=0.06))])
    assert callers.served[(0, "b")] >= 50


def test_reserved_turn_is_not_lost_if_claim_is_not_repeated():
    scheduler = make_scheduler()
    assert scheduler.acquire("i1", 1.0, Claim("a"), 0.0, LED_SINCE).granted
    assert not scheduler.acquire("i1", 1.0, Claim("b"), 0.5, LED_SINCE).granted
    kept = scheduler.acquire("i1", 1.0, Claim("a"), 1.01, LED_SINCE)
    assert not kept.granted
    late = 1.01 + RESERVATION_SECONDS
    assert scheduler.acquire("i1", 1.0, Claim("a"), late, LED_SINCE).granted
    # the next turn is due as if the last one had been taken on time
    turn = scheduler.acquire(
        "i1", 1.0, Claim("b", max_wait=1.0), late, LED_SINCE
    )
    assert turn.granted and late + turn.wait <= 2.02


def test_new_leader_counts_from_its_start():
    # The previous leader may have granted a turn just before its end.
    scheduler = make_scheduler()
    assert not scheduler.acquire(
        "i1", 0.5, Claim(), 10.0, led_since=9.0
    ).granted
    assert scheduler.acquire("i1", 0.5, Claim(), 11.0, led_since=9.0).granted


def test_target_with_rate_zero_still_gets_the_minimum_rate():
    # Without any request, no response could show that the target recovered.
    callers = Callers(0.0)
    callers.play(60.0, [(0.1, Claim("a"))])
    assert 60.0 * MIN_SENDS_PER_SECOND - 2 <= len(callers.granted)
    assert len(callers.granted) <= 60.0 * MIN_SENDS_PER_SECOND + 1


def test_rate_that_changes_counts_from_the_last_turn():
    scheduler = make_scheduler()
    scheduler.acquire("i1", 0.2, Claim(), 0.0, LED_SINCE)
    assert not scheduler.acquire("i1", 0.2, Claim(), 1.0, LED_SINCE).granted
    assert scheduler.acquire("i1", 2.0, Claim(), 1.0, LED_SINCE).granted
    assert not scheduler.acquire("i1", 1.0, Claim(), 1.6, LED_SINCE).granted


def test_idle_schedules_are_dropped():
    scheduler = make_scheduler()
    for number in range(50):
        scheduler.acquire(f"i{number}", 1.0, Claim(), 0.0, LED_SINCE)
    scheduler.acquire("other", 1.0, Claim(), 100.0, LED_SINCE)
    assert scheduler.count_targets() == 1


CLAIMS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 0.5),
        strategies.builds(
            Claim,
            strategies.sampled_from(("a", "b", "c")),
            strategies.integers(0, 2),
            strategies.floats(0.0, 1.0),
        ),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300)
@given(CLAIMS, strategies.floats(0.3, 20.0), strategies.floats(0.1, 6.0))
def test_any_interval_has_at_most_rate_times_length_plus_one(
    claims, rate, span
):
    scheduler, now, granted = make_scheduler(), 0.0, []
    for pause, claim in claims:
        now += pause
        turn = scheduler.acquire("i1", rate, claim, now, LED_SINCE)
        if turn.granted:
            granted.append(now + turn.wait)
    assert granted == sorted(granted)
    for place, first in enumerate(granted):
        count = sum(at < first + span for at in granted[place:])
        # a turn after an unused reservation may be late by that time
        assert count <= (span + RESERVATION_SECONDS) * rate + 1 + 1e-6
