"""Tests of placing streams by the paces that targets report."""

import collections
import heapq

import pytest

from chivepier.gateway.config import Engine
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import Fit
from chivepier.gateway.targets import ReportedLoad
from chivepier.gateway.targets.tests.test_loadbalancer import Choice
from chivepier.gateway.targets.tests.test_targettable import make

ENGINE = Engine(slots=24, memory_tokens=34_000, event_tokens=4)
LONG = Demand(prompt=2_000, output=750, objective=1.5, gap_objective=0.18)
SHORT = Demand(prompt=2_200, output=20, objective=1.5, gap_objective=0.18)
UNEVEN = {"a": 0.7, "b": 0.7, "c": 1.7}
PEAK = 2.5


class Pool(Choice):
    """The targets of a service, with a load balancer over them."""

    def __init__(self, paces, reporting=True):
        super().__init__(*paces)
        self.paces = paces
        for name, pace in paces.items() if reporting else ():
            self.report(name, pace, at=0.0)
            self.report(name, pace * PEAK, at=0.1)

    def report(self, name, pace, at, born=0):
        """Report the pace of a target."""
        load = ReportedLoad(running=1, waiting=0, slots=24, pace=pace)
        self.reports.record(name, born, load, now=at)

    def rank(self, demand=LONG, **options):
        """Return the names of the targets, the best first."""
        ranked = self.balancer.rank("s", ENGINE, demand, **options)
        return [target.instance for target in ranked]

    def judge(self, name, demand=LONG):
        """Return how well a target suits a stream."""
        target = self.table.get(name)
        return self.balancer.forecast(target, ENGINE, demand).fit

    def play(self, interval):
        """Place a long stream and two short answers at each interval."""
        counts, ends = collections.Counter(), []
        for start in (number * interval for number in range(100)):
            self.clock.advance(start - self.clock.monotonic())
            for name, pace in self.paces.items():
                self.report(name, pace * self.rng.choice((1, PEAK)), start)
            while ends and ends[0][0] <= start:
                _, name, tokens = heapq.heappop(ends)
                self.loads.adjust_own(name, runs=-1, tokens=-tokens)
            for demand in (LONG, SHORT, SHORT):
                ranked = self.rank(demand, exclude_full=True)
                for name in ranked[:1]:
                    assert demand is SHORT or name != "c" or ranked == ["c"]
                    counts[demand.output, name] += 1
                    tokens = demand.near_term_tokens
                    self.loads.adjust_own(name, runs=1, tokens=tokens)
                    end = start + 0.2 + 0.01 * demand.output * self.paces[name]
                    heapq.heappush(ends, (end, name, tokens))
                    load = self.balancer.find_load(name)
                    assert load.tokens <= ENGINE.memory_tokens
        return counts


@pytest.mark.parametrize(
    ("interval", "overflows"), [(0.5, False), (0.1, True)]
)
def test_slow_target_gets_long_streams_only_if_others_are_full(
    interval, overflows
):
    # Nearly all long streams that paused for too long ran at slow targets.
    counts = Pool(UNEVEN).play(interval)
    assert bool(counts[750, "c"]) is overflows
    assert abs(counts[750, "a"] - counts[750, "b"]) <= counts[750, "a"] // 4
    assert counts[20, "c"] > counts[20, "a"] > 0


@pytest.mark.parametrize("pace", [None, 0.7, 1.7])
@pytest.mark.parametrize("demand", [LONG, SHORT])
def test_order_without_reports_or_with_equal_paces_is_that_of_before(
    pace, demand
):
    # Deployments whose targets report no pace, or one, must not change; a
    # service that is slow as a whole would fill its few new targets.
    pool = Pool(dict.fromkeys("abcdefg", pace), reporting=pace is not None)
    before = Choice(*"abcdefg")
    for _ in range(50):
        ranked = before.balancer.rank("s", ENGINE, demand)
        names = [target.instance for target in ranked]
        assert pool.rank(demand, exclude_unfit=True) == names
    assert pool.rng.getstate() == before.rng.getstate()


def test_newcomer_and_restarted_target_come_between():
    # A third of the new targets is slow; a name may come back elsewhere.
    pool = Pool(UNEVEN)
    pool.table.put(make("new", address="new:1"))
    assert pool.rank()[2:] == ["new", "c"]
    pool.table.put(make("c", address="c:1", born=5))
    assert pool.judge("c") is Fit.UNKNOWN
    pool.report("c", 0.7, at=1.0, born=5)
    assert pool.judge("c") is Fit.FITS


def test_full_target_comes_after_one_that_pauses_for_too_long():
    # Services without reservations send to the first, also if it is full.
    pool = Pool(UNEVEN)
    for name in ("a", "b"):
        pool.loads.adjust_own(name, runs=9, tokens=33_000)
    assert pool.rank()[0] == "c"
    assert pool.rank(exclude_full=True, exclude_unfit=True) == []


def test_short_answer_counts_a_slow_target_as_fuller():
    # By memory alone, a slow target got as many prompts as a fast one.
    pool = Pool(UNEVEN)
    for name in ("a", "b"):
        pool.loads.adjust_own(name, tokens=15_000)
    assert pool.rank(SHORT)[0] == "c"
    pool.loads.adjust_own("c", tokens=10_000)
    assert pool.rank(SHORT)[0] != "c"


def test_streams_of_a_leaving_third_fill_fast_targets_first():
    # Streams were moved to slow targets, and must not be cut for a fast one.
    pool = Pool({**UNEVEN, "d": 0.7, "e": 0.7, "f": 1.7})
    source, counts = pool.table.get("d"), collections.Counter()
    for name in pool.paces:
        pool.loads.adjust_own(name, runs=7, tokens=20_000)
    for _ in range(14):
        found = pool.balancer.choose_destination(
            "s", ENGINE, 3_000, source, {"d", "e"}, demand=LONG
        )
        if set(counts) & {"c", "f"}:
            assert counts["a"] == counts["b"] == 4
        counts[found.instance] += 1
        pool.loads.adjust_own(found.instance, runs=1, tokens=3_000)
    assert counts["c"] == counts["f"] == 3


def test_prompts_ahead_count_longer_at_a_slow_target():
    # A prompt that a fast target reads in time is late at a slow one.
    pool = Pool(UNEVEN)
    pool.balancer.prefill_estimator.record("s", 6_000, 0.8)
    pool.clock.advance(1.0)
    for name in ("a", "c"):
        pool.loads.adjust_own(name, reading=3_000)
    assert set(pool.rank(SHORT, exclude_full=True)) == {"a", "b"}


def test_large_prompt_of_a_short_answer_goes_to_a_fast_target():
    # A slow target with free memory reads a large prompt for too long.
    pool = Pool(UNEVEN)
    pool.balancer.prefill_estimator.record("s", 6_000, 1.0)
    pool.clock.advance(1.0)
    for name in ("a", "b"):
        pool.loads.adjust_own(name, tokens=17_000)
    large = Demand(prompt=6_000, output=12, objective=1.5)
    small = Demand(prompt=900, output=12, objective=1.5)
    assert pool.rank(small)[0] == "c"
    assert pool.rank(large)[0] != "c"
