"""Tests of the judgement whether a service is out of reach."""

import asyncio
import os
import random

import pytest

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.reach import Reach
from chivepier.gateway.reach import ReachProber
from chivepier.gateway.reach import ReachState
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.types import ManualClock


def make_target(name: str, service: str = "s") -> Target:
    """Make a target that has just announced itself."""
    return Target(
        instance=name,
        service=service,
        address=f"{name}:80",
        zone="z",
        state=TargetState.READY,
        number=1,
        slots=4,
        heard=0.0,
    )


class Site:
    """What one entry knows of its targets.

    :param count: number of targets of the service ``s``
    :param beat: seconds between two announcements of a target
    """

    def __init__(self, count: int, clock=None, beat: float = 1000.0):
        self.clock = clock or ManualClock()
        self.table = TargetTable(beat)
        self.targets = [make_target(f"t{n}") for n in range(count)]
        for target in self.targets:
            self.table.put(target)
        log = EventLog("e1", os.open(os.devnull, os.O_WRONLY))
        self.rng = random.Random(1)
        self.resting: set[str] = set()
        self.reach = Reach(
            self.table,
            self.clock,
            self.rng,
            log,
            Metrics(),
            lambda target: target.instance not in self.resting,
        )

    def fail(self, *numbers: int) -> None:
        """Record that connecting to some targets failed."""
        for number in numbers:
            self.reach.note_failed(self.targets[number], "refused")


@pytest.mark.parametrize("count", (1, 2, 3))
def test_service_is_lost_once_every_target_of_a_few_failed(count):
    site = Site(count)
    site.fail(*range(count - 1))
    assert not site.reach.is_lost("s")
    site.fail(count - 1)
    assert site.reach.is_lost("s")
    assert site.reach.lost_services == ("s",)


def test_targets_that_ended_are_no_cut_while_another_is_reached():
    # An entry that reached sound targets handed all requests over after some
    # others had ended.
    site = Site(20)
    site.fail(0, 1)
    site.reach.note_reached(site.targets[9])
    site.fail(2, 3, 4, 5, 6)
    assert not site.reach.is_lost("s")
    site.clock.advance(4.5)
    site.fail(*range(7, 11))
    assert site.reach.is_lost("s")


@pytest.mark.parametrize(("count", "resting"), ((2, 1), (3, 1), (3, 2)))
def test_service_is_lost_though_some_targets_ask_for_rest(count, resting):
    # Callers of an entry were refused while a target that must not be called
    # left the others' failures without a verdict.
    site = Site(count)
    site.resting |= {f"t{n}" for n in range(count - resting, count)}
    site.fail(*range(count - resting))
    assert site.reach.is_lost("s")


def test_target_that_was_reached_before_its_rest_shows_no_cut():
    # An entry handed all requests over as one target ended beside one that
    # had asked for rest a moment before.
    site = Site(2)
    site.reach.note_reached(site.targets[1])
    site.resting.add("t1")
    site.fail(0)
    assert not site.reach.is_lost("s")
    site.clock.advance(1.1)
    site.fail(0)
    assert site.reach.is_lost("s")


def test_target_that_rests_alone_is_no_cut():
    # Requests went to other entries for as long as a target asked for rest.
    site = Site(2)
    site.resting.add("t1")
    site.fail(0)
    site.reach.end_without_targets("s")
    assert site.reach.is_lost("s")
    site.table.mark_gone("t0", "t0:80")
    site.reach.end_without_targets("s")
    assert not site.reach.is_lost("s")


def test_targets_that_ended_together_are_no_cut():
    # Callers were led from entry to entry while a service had no target.
    site = Site(2, beat=1.0)
    site.clock.advance(2.0)
    site.fail(0, 1)
    assert site.reach.is_lost("s")
    site.clock.advance(2.0)
    site.reach.end_without_targets("s")
    assert not site.reach.is_lost("s")
    site.fail(0, 1)
    assert not site.reach.is_lost("s")


def test_other_services_stay_in_reach():
    site = Site(2)
    other = make_target("o", "other")
    site.table.put(other)
    site.fail(0, 1)
    assert site.reach.is_lost("s") and not site.reach.is_lost("other")


def test_requests_return_bit_by_bit_after_a_cut():
    # All entries of a zone sent everything to the targets at one moment.
    site = Site(1)
    site.fail(0)
    site.reach.note_reached(site.targets[0])
    shares = []
    for _ in range(4):
        assert site.reach.get_state("s") is ReachState.RETURNING
        shares.append(sum(site.reach.may_send("s") for _ in range(200)))
        site.clock.advance(0.5)
    assert shares[0] == 0 and shares == sorted(shares)
    assert shares[3] > 100
    assert site.reach.get_state("s") is ReachState.REACHED


def test_restarted_target_counts_as_untried():
    site = Site(1)
    site.fail(0)
    site.reach.forget("t0")
    assert site.reach.find_next_probe("s") is site.targets[0]


def play_probes(count: int, reachable, seconds: float, work):
    """Run the prober while a test fails attempts.

    :param reachable: whether a target can be connected to at a time
    :param seconds: for how long
    :returns: the state at the end, and the time of each probe
    """
    probes = []

    async def run():
        site = Site(count, LoopClock())
        loop = asyncio.get_running_loop()

        async def connect(target):
            probes.append((loop.time(), target.instance))
            ok = reachable(target, loop.time())
            return Liveness.LIVES if ok else Liveness.UNKNOWN

        prober = ReachProber(site.reach, connect, site.clock, site.rng)
        task = asyncio.create_task(prober.run())
        began = loop.time()
        await work(site, began)
        await asyncio.sleep(seconds)
        task.cancel()
        return site.reach.get_state("s")

    return play_time(run()), probes


def test_nothing_is_probed_without_failures():
    async def work(site, began):
        site.reach.note_reached(site.targets[0])

    _, probes = play_probes(5, lambda *_: True, 60.0, work)
    assert probes == []


def test_hung_attempt_is_checked_at_other_targets():
    # Each of twenty targets would have to hang for half a second first.
    async def work(site, began):
        site.reach.note_failed(site.targets[0], "timeout", hung=True)
        await asyncio.sleep(0.01)
        assert site.reach.is_lost("s")

    play_probes(20, lambda *_: False, 0.0, work)


def test_one_failure_without_answers_is_checked_at_other_targets():
    # Targets that accept a request each few seconds had no second failure in
    # time, and each one used up a turn: 0 of 1130 first tries were served.
    async def work(site, began):
        site.fail(0)
        await asyncio.sleep(0.01)
        assert site.reach.is_lost("s")

    play_probes(3, lambda *_: False, 0.0, work)


def test_one_failure_beside_answers_is_not_checked():
    # Each target's end would have every entry connect to three others.
    async def work(site, began):
        site.reach.note_answered(site.targets[1])
        await asyncio.sleep(0.9)
        site.fail(0)

    state, probes = play_probes(3, lambda *_: False, 5.0, work)
    assert state is ReachState.REACHED
    assert probes == []


def test_end_of_a_cut_is_found_beside_a_target_that_rests():
    # Only the one that must not be called was tried, and that is no attempt.
    async def work(site, began):
        site.resting.add("t0")
        site.fail(1, 2)
        assert site.reach.is_lost("s")

    state, probes = play_probes(3, lambda *_: True, 1.0, work)
    assert state is not ReachState.LOST
    assert "t0" not in {name for _, name in probes}


def test_ended_target_is_told_from_a_cut():
    async def work(site, began):
        site.reach.note_failed(site.targets[0], "timeout", hung=True)

    state, probes = play_probes(20, lambda *_: True, 5.0, work)
    assert state is ReachState.REACHED
    assert len(probes) == 3


def test_trickle_of_probes_finds_the_end_of_a_cut():
    ends = {}

    async def work(site, began):
        ends["at"] = began + 10.0
        site.fail(0, 1, 2)

    def is_reachable(target, now):
        return now >= ends["at"]

    state, probes = play_probes(3, is_reachable, 20.0, work)
    assert state is ReachState.REACHED
    assert 20 <= len(probes) <= 34
    assert probes[-1][0] < ends["at"] + 0.5
