"""Tests of plain requests before targets that report their load."""

import asyncio

import attrs
import pytest

from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import PLAIN
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.plainsite import PlainTarget
from chivepier.gateway.serving.tests.plainsite import play_site
from chivepier.gateway.serving.tests.plainsite import ROUTE
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import ReportedLoad
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError


def test_slow_target_gets_less_while_it_is_slow():
    """Guards against sending a third to a target of 2.5 times the time."""
    shares, slow_answers = [], []
    for reporting in (True, False):
        slow = PlainTarget(moments=(1.0, 2.5))
        site = play_site(100, 3.1, slow, reporting=reporting)
        counts = [site.count_starts(at + 0.1, at + 0.6) for at in slow.moments]
        shares.append(sum(c[0] for c in counts) / sum(map(sum, counts)))
        slow_answers.append(
            sum(seconds > ROUTE.objective / 2 for _, seconds in site.times)
        )
    assert shares[0] < 0.75 * shares[1]
    assert slow_answers[0] < 0.75 * slow_answers[1]


def test_old_reports_do_not_send_all_entries_to_one_target():
    """Guards against a herd of 66 entries on the target that looked idle."""
    site = play_site(240, 1.6, PlainTarget())
    steps = [at / 20 for at in range(10, 32)]
    counts = [site.count_starts(at, at + 0.05) for at in steps]
    assert sum(map(max, counts)) <= 0.54 * sum(map(sum, counts))
    assert set(site.statuses) == {200}


def test_target_that_fails_at_once_gets_no_herd():
    """Guards against taking quick failures for an idle, fast target."""
    site = play_site(60, 1.5, PlainTarget(failing=True))
    assert site.statuses[500] <= 0.4 * sum(site.statuses.values())
    site = play_site(60, 1.5, PlainTarget(failing=True), entries=1)
    assert site.statuses[500] <= 4


def test_without_reports_choices_and_draws_are_those_of_before(monkeypatch):
    """Guards against changing deployments whose targets report nothing."""

    def compute_cost(self, targets, now):
        return {
            target.instance: self._in_flight.get(target.instance, 0) / 6
            + self._health.get_latency_ratio(target.instance, now)
            for target in targets
        }

    def play_blind():
        slow = PlainTarget(moments=(0.5,))
        site = play_site(150, 1.2, slow, reporting=False, entries=5)
        draws = [entry.rng.random() for entry in site.entries]
        return [part.starts for part in site.targets], site.times, draws

    played = play_blind()
    monkeypatch.setattr(LoadBalancer, "_get_request_cost", compute_cost)
    assert play_blind() == played


def report(parts, waiting, *names):
    """Report that targets have all four places taken, and some waiting."""
    for name in names or ("w-a", "w-b"):
        load = ReportedLoad(running=4, waiting=waiting, slots=4, pace=1.0)
        parts.reports.record(name, 0, load, tell_time())


def start_full(parts):
    """Let all targets be full until the returned task is cancelled."""

    async def keep_full():
        while True:
            await asyncio.sleep(0.02)
            report(parts, 4)

    report(parts, 4)
    return asyncio.create_task(keep_full())


async def start(parts, name="r1", key="k1"):
    """Start a request, and return its task."""
    request = make_request("/plain/x", id=name, key=key)
    task = parts.start(request)[1]
    await asyncio.sleep(0.005)
    return task


async def finish(parts, *tasks):
    """End all answers, and return who waited and with which outcome."""
    await parts.engines.wait_run(len(tasks))
    for answer in parts.engines.answers:
        answer.end()
    await asyncio.gather(*tasks)
    lines = parts.read_lines("place_waited")
    return {line["id"]: line["outcome"] for line in lines}


def test_places_go_by_class_and_arrival():
    """Guards against a place for the newest, or for the least urgent."""

    async def test(parts):
        urgent = attrs.evolve(parts.make_team("t2", "k2"), urgency=1)
        parts.configure(version=2, teams=(parts.make_team("t1", "k1"), urgent))
        full = start_full(parts)
        tasks = [
            await start(parts, name, key)
            for name, key in (("r1", "k1"), ("r2", "k1"), ("r3", "k2"))
        ]
        assert not parts.engines.orders
        full.cancel()
        for name in ("w-a", "w-b"):
            await asyncio.sleep(0.02)
            report(parts, 3, name)
        await asyncio.sleep(0.02)
        assert [a.request_id for a in parts.engines.answers] == ["r3", "r1"]
        waits = await finish(parts, *tasks)
        assert waits["r1"] == waits["r3"] == "free"

    play(test, "a", "b")


def test_nothing_waits_for_longer_than_half_its_objective():
    """Guards against holding what a target's own queue would still take."""

    async def test(parts):
        full, began = start_full(parts), tell_time()
        task = await start(parts)
        await parts.engines.wait_run(1)
        assert tell_time() - began < PLAIN.objective / 2 + 0.02
        full.cancel()
        assert await finish(parts, task) == {"r1": "over"}

    play(test, "a", "b")


@pytest.mark.parametrize("case", ("free", "old", "unknown", "ending"))
def test_only_recent_reports_of_all_targets_hold_requests(case):
    """Guards against waits by old or missing reports, and at an end."""

    async def test(parts):
        report(parts, 4, "w-a")
        if case != "unknown":
            report(parts, 3 if case == "free" else 4, "w-b")
        if case == "old":
            await asyncio.sleep(0.3)
        if case == "ending":
            parts.state.ends_at = tell_time() + 5
        task = await start(parts)
        assert parts.engines.answers
        assert await finish(parts, task) == {}

    play(test, "a", "b")


def test_caller_that_leaves_frees_its_place_in_the_queue():
    """Guards against a place that is kept for a caller who has gone."""

    async def test(parts):
        full = start_full(parts)
        gone = await start(parts, "r1")
        task = await start(parts, "r2")
        gone.cancel()
        full.cancel()
        await asyncio.sleep(0.001)
        report(parts, 3, "w-a")
        await parts.engines.wait_run(1)
        waits = await finish(parts, task)
        assert waits == {"r1": "left", "r2": "free"}

    play(test, "a", "b")


def test_request_without_hope_is_refused_at_once_as_not_run():
    """Guards against holding what would begin beyond its deadline."""

    async def test(parts):
        work = parts.dispatcher.balancer.request_cost.work
        work.record("web", seconds=0.5, pace=1.0, objective=1.0)
        report(parts, 200)
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
