"""Where requests run, and when refused ones come back."""

import attrs

from chivepier.messages import PermitOutcome
from chivepier.policy import Ask
from chivepier.policy import Grant
from chivepier.policy import Refusal
from chivepier.policy import SharedPolicy
from chivepier.policy import TargetView
from chivepier.types import ManualClock

PREFIX = tuple(range(100, 116))


class Pool:
    """A policy with targets ``t0`` and on, in zones ``a`` and ``b``."""

    def __init__(self, targets=3, capacity=40_000):
        self.clock = ManualClock()
        self.policy = SharedPolicy(self.clock)
        self.numbers = iter(range(10**6))
        self.permits = {}
        for number in range(targets):
            self.announce(number, capacity)

    def announce(self, number, capacity=40_000, **changes):
        """Announce a target."""
        view = TargetView(
            target=f"t{number}",
            address="",
            zone="ab"[number % 2],
            models=frozenset(("m",)),
            capacity_tokens=capacity,
            max_streams=64,
        )
        self.policy.set_target(attrs.evolve(view, **changes))

    def ask(self, **changes):
        """Submit one request; return its target, or the refusal."""
        now = self.clock.monotonic()
        fields = {
            "request": f"r{next(self.numbers)}",
            "team": "a",
            "template": "t",
            "model": "m",
            "prompt_tokens": 1200,
            "max_tokens": 2000,
            "arrived": now,
            "deadline": now + 30.0,
        }
        ask = Ask(**{**fields, **changes})
        self.policy.submit(ask)
        for decision in self.policy.decide():
            if decision.request != ask.request:
                continue
            match decision:
                case Grant():
                    self.permits[decision.permit] = decision.target
                    return decision.target
                case Refusal():
                    return decision
        return None

    def finish(self, permit):
        """Finish a request."""
        self.policy.release(permit, 100, PermitOutcome.FINISHED)
        del self.permits[permit]


def test_own_grants_are_remembered_without_cache_events():
    # All cache events are lost.  The next question about the same document
    # still goes where the first one was computed, though others are empty.
    pool = Pool()
    first = pool.ask(prefix=PREFIX)
    pool.finish(1)
    others = [pool.ask() for _ in range(3)]
    assert pool.ask(prefix=PREFIX + (7,)) == first
    assert len(set(others)) > 1


def test_late_cache_event_counts():
    # Another owner had placed the document; the target says so, late.
    pool = Pool()
    pool.announce(2, cached=frozenset(PREFIX))
    assert pool.ask(prefix=PREFIX) == "t2"


def test_queueing_goes_before_a_cached_prefix():
    # The target with the document is full: waiting for it would cost more
    # than computing the prompt elsewhere.
    pool = Pool(targets=2, capacity=6000)
    first = pool.ask(prefix=PREFIX)
    placed = [pool.ask(prefix=PREFIX) for _ in range(8)]
    assert set(placed) > {first, None} or len(set(placed) - {None}) == 2


def test_own_zone_is_preferred_where_all_else_is_equal():
    pool = Pool()
    assert pool.ask(zone="b") == "t1"


def test_restarted_target_has_an_empty_cache():
    pool = Pool(targets=2)
    first = pool.ask(prefix=PREFIX)
    pool.finish(1)
    pool.policy.remove_target(first)
    pool.announce(int(first[1]))
    index = pool.policy._placement.index
    assert index.count_hits(first, PREFIX) == 0


def test_refused_callers_are_spread_over_the_drain():
    # A queue that drains 2 a second refuses many at once.  Told the same
    # time, they would all come back together and be refused again.
    pool = Pool(targets=1, capacity=4000)
    refusals = []
    for _ in range(100):
        for permit in list(pool.permits)[:1]:
            pool.finish(permit)
        refusals += [pool.ask() for _ in range(4)]
        pool.clock.advance(0.5)
    hints = [r.retry_after for r in refusals if isinstance(r, Refusal)]
    assert len(hints) > 50
    assert max(hints) > 4 * min(hints)
    assert max(hints) <= 30.0


def test_no_more_wait_than_the_bound():
    # Nothing ends any more.  Whoever waits is told well before the
    # deadline of 30 s, soon after the class's bound of 3.5 s.
    pool = Pool(targets=1, capacity=4000)
    results = [pool.ask() for _ in range(10)]
    assert results.count(None) > 0
    pool.clock.advance(4.6)
    assert [d for d in pool.policy.decide() if isinstance(d, Refusal)]
    assert not pool.policy._sharing.waiting
