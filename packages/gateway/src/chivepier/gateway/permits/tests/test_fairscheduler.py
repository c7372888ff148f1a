"""Tests of who gets the little that a target in need takes."""

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


def make_turns() -> FairScheduler:
    """Make turns whose draws repeat."""
    return FairScheduler(random.Random(1))


class Callers:
    """Claims of teams; a refused one comes once more when it is told to."""

    def __init__(self, rate: float):
        self._turns = make_turns()
        self._rate = rate
        self.served = collections.Counter()
        self.granted: list[float] = []

    def play(self, seconds: float, asks: list[tuple[float, Claim]]) -> None:
        """Let claims of each kind come, so many seconds apart."""
        coming = [
            (0.01 * place + interval * number, True, claim)
            for place, (interval, claim) in enumerate(asks)
            for number in range(int(seconds / interval))
        ]
        while coming:
            coming.sort(key=lambda ask: ask[0])
            now, new, claim = coming.pop(0)
            turn = self._turns.acquire("i1", self._rate, claim, now, LED_SINCE)
            if turn.granted:
                self.served[(claim.urgency, claim.team)] += 1
                self.granted.append(now + turn.wait)
            elif new:
                coming.append((now + turn.wait, False, claim))


def test_team_that_asks_ten_times_as_often_gets_no_more():
    callers = Callers(2.0)
    callers.play(60.0, [(0.05, Claim("big")), (0.5, Claim("small"))])
    big, small = callers.served[(0, "big")], callers.served[(0, "small")]
    assert big + small >= 100
    assert small >= 0.45 * (big + small)


def test_urgent_class_goes_first_and_leaves_what_it_does_not_want():
    callers = Callers(2.0)
    callers.play(
        60.0, [(0.05, Claim("a", 1)), (0.05, Claim("b", 1)), (2.0, Claim("c"))]
    )
    assert callers.served[(0, "c")] >= 29
    others = callers.served[(1, "a")], callers.served[(1, "b")]
    assert sum(others) >= 70 and min(others) >= 0.4 * sum(others)


def test_patient_claims_do_not_take_all_turns_ahead():
    callers = Callers(2.0)
    patient = [(0.05, Claim("a", 1, patience=1.0))]
    callers.play(60.0, [*patient, (0.25, Claim("b", 0, patience=0.06))])
    assert callers.served[(0, "b")] >= 50


def test_turn_is_not_lost_with_a_claim_that_does_not_come_back():
    turns = make_turns()
    assert turns.acquire("i1", 1.0, Claim("a"), 0.0, LED_SINCE).granted
    assert not turns.acquire("i1", 1.0, Claim("b"), 0.5, LED_SINCE).granted
    kept = turns.acquire("i1", 1.0, Claim("a"), 1.01, LED_SINCE)
    assert not kept.granted
    late = 1.01 + RESERVATION_SECONDS
    assert turns.acquire("i1", 1.0, Claim("a"), late, LED_SINCE).granted
    # the next turn is due as if the last one had been taken when it was due
    turn = turns.acquire("i1", 1.0, Claim("b", patience=1.0), late, LED_SINCE)
    assert turn.granted and late + turn.wait <= 2.02


def test_new_leader_counts_from_its_start():
    # The last leader may have given a turn at its very end.
    turns = make_turns()
    assert not turns.acquire("i1", 0.5, Claim(), 10.0, led_since=9.0).granted
    assert turns.acquire("i1", 0.5, Claim(), 11.0, led_since=9.0).granted


def test_target_that_takes_nothing_is_asked_now_and_then():
    # With nothing sent, nothing would ever tell that it has recovered.
    callers = Callers(0.0)
    callers.play(60.0, [(0.1, Claim("a"))])
    assert 60.0 * MIN_SENDS_PER_SECOND - 2 <= len(callers.granted)
    assert len(callers.granted) <= 60.0 * MIN_SENDS_PER_SECOND + 1


def test_rate_that_changes_counts_from_the_last_turn():
    turns = make_turns()
    turns.acquire("i1", 0.2, Claim(), 0.0, LED_SINCE)
    assert not turns.acquire("i1", 0.2, Claim(), 1.0, LED_SINCE).granted
    assert turns.acquire("i1", 2.0, Claim(), 1.0, LED_SINCE).granted
    assert not turns.acquire("i1", 1.0, Claim(), 1.6, LED_SINCE).granted


def test_targets_that_nobody_asks_for_are_forgotten():
    turns = make_turns()
    for number in range(50):
        turns.acquire(f"i{number}", 1.0, Claim(), 0.0, LED_SINCE)
    turns.acquire("other", 1.0, Claim(), 100.0, LED_SINCE)
    assert turns.count_targets() == 1


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
def test_any_span_holds_what_the_rate_allows_and_one_more(claims, rate, span):
    turns, now, granted = make_turns(), 0.0, []
    for pause, claim in claims:
        now += pause
        turn = turns.acquire("i1", rate, claim, now, LED_SINCE)
        if turn.granted:
            granted.append(now + turn.wait)
    assert granted == sorted(granted)
    for place, first in enumerate(granted):
        count = sum(at < first + span for at in granted[place:])
        # one that was kept for another claim may come later by that
        assert count <= (span + RESERVATION_SECONDS) * rate + 1 + 1e-6
