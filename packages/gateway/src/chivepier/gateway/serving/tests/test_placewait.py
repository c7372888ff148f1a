"""Tests of plain requests before targets that report their load."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import PLAIN
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.gateway.serving.tests.plainsite import OBJECTIVE
from chivepier.gateway.serving.tests.plainsite import PlainTarget
from chivepier.gateway.serving.tests.plainsite import play_site
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import ReportedLoad
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

MOMENTS = (1.0, 2.5)
SLOW = tuple((start, start + 0.6, 2.5) for start in MOMENTS)


def play_targets(seconds, rate, reporting, first, **options):
    """Play a load on three targets; return the site."""
    sites = []

    async def test(site):
        sites.append(site)
        await site.load(rate, seconds)

    targets = (first, PlainTarget(name="t1"), PlainTarget(name="t2"))
    play_site(test, *targets, reporting=reporting, **options)
    return sites[0]


def play_slow(reporting):
    """Return the share of a slow target in its moments, and slow answers."""

    def is_within(seconds):
        return any(start + 0.1 <= seconds < start + 0.6 for start in MOMENTS)

    slow = PlainTarget(name="t0", paces=SLOW)
    site = play_targets(3.1, 100, reporting, slow)
    starts = [
        sum(map(is_within, target.starts)) for target in site.targets.values()
    ]
    slow_answers = sum(
        is_within(start) and seconds > OBJECTIVE / 2
        for start, seconds in site.times
    )
    return starts[0] / sum(starts), slow_answers


def test_slow_target_gets_less_while_it_is_slow():
    """Guards against sending a third to a target of 2.5 times the time."""
    share, slow_answers = play_slow(True)
    blind_share, blind_slow_answers = play_slow(False)
    assert share < 0.75 * blind_share
    assert slow_answers < 0.75 * blind_slow_answers


def test_old_reports_do_not_send_all_entries_to_one_target():
    """Guards against a herd of 66 entries on the target that looked idle."""
    site = play_targets(2.0, 150, True, PlainTarget(name="t0"))
    for start in (0.5, 0.75, 1.0, 1.25, 1.5, 1.75):
        counts = [
            sum(start <= at < start + 0.25 for at in target.starts)
            for target in site.targets.values()
        ]
        assert max(counts) <= 0.7 * sum(counts)
    assert all(status == 200 for status in site.outcomes)


def test_target_that_fails_at_once_gets_no_herd():
    """Guards against taking quick failures for an idle, fast target."""
    failing = PlainTarget(name="t0", failing=True)
    site = play_targets(1.5, 60, True, failing)
    assert len(failing.starts) <= 0.4 * sum(site.outcomes.values())
    site = play_targets(1.5, 60, True, attrs.evolve(failing), entries=1)
    assert site.outcomes[500] <= 4


def test_without_reports_choices_and_draws_are_those_of_before():
    """Guards against changing deployments whose targets report nothing."""

    def compute_cost(self, targets, now):
        costs = {}
        for target in targets:
            busy = self._in_flight.get(target.instance, 0) / target.slots
            costs[target.instance] = busy + self._health.get_latency_ratio(
                target.instance, now
            )
        return costs

    runs = []
    for changed in (False, True):
        with pytest.MonkeyPatch.context() as patch:
            if changed:
                patch.setattr(LoadBalancer, "_get_request_cost", compute_cost)
            first = PlainTarget(name="t0", paces=SLOW)
            site = play_targets(1.2, 150, False, first, entries=5)
        draws = [entry.rng.random() for entry in site.entries]
        starts = [target.starts for target in site.targets.values()]
        runs.append((starts, site.times, draws))
    assert runs[0] == runs[1]


def report(parts, running, waiting=0, names=("w-a", "w-b")):
    """Report the load of targets of four slots to an entry."""
    for name in names:
        load = ReportedLoad(running=running, waiting=waiting, slots=4)
        parts.reports.record(name, 0, load, tell_time())


async def keep_full(parts):
    """Report all places as taken every 20 ms, until cancelled."""
    while True:
        report(parts, 4, 4)
        await asyncio.sleep(0.02)


def start_full(parts):
    """Let all targets be full until the returned task is cancelled."""
    report(parts, 4, 4)
    return asyncio.create_task(keep_full(parts))


def find_waits(parts):
    """Return the ids and outcomes of the requests that have waited."""
    lines = parts.read_lines("place_waited")
    return [(line["id"], line["outcome"]) for line in lines]


async def finish(parts, *tasks):
    """End all answers, and await the requests."""
    await parts.engines.wait_run(len(tasks))
    for answer in parts.engines.answers:
        answer.end()
    await asyncio.gather(*tasks)


def test_places_go_by_class_and_arrival():
    """Guards against a place for the newest, or for the least urgent."""

    async def test(parts):
        parts.configure(
            version=2,
            teams=(
                attrs.evolve(parts.make_team("t1", "k1"), urgency=3),
                attrs.evolve(parts.make_team("t2", "k2"), urgency=1),
            ),
        )
        full = start_full(parts)
        tasks = []
        for name, key in (("r1", "k1"), ("r2", "k1"), ("r3", "k2")):
            request = make_request("/plain/x", id=name, key=key)
            tasks.append(parts.start(request)[1])
            await asyncio.sleep(0.03)
        assert not parts.engines.orders
        full.cancel()
        await asyncio.sleep(0.001)
        report(parts, 4, 3)
        await wait_until(lambda: len(parts.engines.answers) == 2)
        assert [a.request_id for a in parts.engines.answers] == ["r3", "r1"]
        await finish(parts, *tasks)
        assert {outcome for _, outcome in find_waits(parts)} <= {
            "free",
            "unreported",
        }

    play(test, "a", "b")


def test_nothing_waits_for_longer_than_half_its_objective():
    """Guards against holding what a target's own queue would still take."""

    async def test(parts):
        full = start_full(parts)
        began = tell_time()
        caller, task = parts.start(make_request("/plain/x"))
        await parts.engines.wait_run(1)
        assert tell_time() - began < PLAIN.objective / 2 + 0.02
        full.cancel()
        await finish(parts, task)
        assert find_waits(parts) == [("r1", "over")]
        assert caller.status == 200

    play(test, "a", "b")


@pytest.mark.parametrize("case", ("free", "old", "unknown", "ending"))
def test_only_recent_reports_of_all_targets_hold_requests(case):
    """Guards against waits by old or missing reports, and at an end."""

    async def test(parts):
        report(parts, 4, 4, ("w-a",))
        if case != "unknown":
            report(parts, 4, 4, ("w-b",))
        match case:
            case "free":
                await asyncio.sleep(0.001)
                report(parts, 4, 3, ("w-b",))
            case "old":
                await asyncio.sleep(0.3)
            case "ending":
                parts.state.ends_at = tell_time() + 5
        began = tell_time()
        _, task = parts.start(make_request("/plain/x"))
        await parts.engines.wait_run(1)
        assert tell_time() == began
        await finish(parts, task)

    play(test, "a", "b")


def test_caller_that_leaves_frees_its_place_in_the_queue():
    """Guards against a place that is kept for a caller who has gone."""

    async def test(parts):
        full = start_full(parts)
        _, gone = parts.start(make_request("/plain/x", id="r1"))
        await asyncio.sleep(0.03)
        _, task = parts.start(make_request("/plain/x", id="r2"))
        await asyncio.sleep(0.03)
        gone.cancel()
        full.cancel()
        await asyncio.sleep(0.001)
        report(parts, 4, 3, ("w-a",))
        await parts.engines.wait_run(1)
        assert parts.engines.answers[0].request_id == "r2"
        await finish(parts, task)
        assert ("r1", "left") in find_waits(parts)

    play(test, "a", "b")


def test_request_without_hope_is_refused_at_once_as_not_run():
    """Guards against holding what would begin beyond its deadline."""

    async def test(parts):
        work = parts.dispatcher.balancer.request_cost.work
        work.record("web", seconds=0.5, pace=1.0, objective=1.0)
        report(parts, 4, waiting=200)
        began = tell_time()
        with pytest.raises(RequestError) as caught:
            await parts.serve(make_request("/plain/x"))
        failure = caught.value.failure
        assert (failure.kind, failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
        # 400 wait for 8 places, half a second each
        assert 25.0 <= failure.retry_after.total_seconds() <= 38.0
        assert tell_time() == began and not parts.engines.orders
        assert parts.read_lines("place_refused")[0]["start_ms"] == 25000

    play(test, "a", "b")
