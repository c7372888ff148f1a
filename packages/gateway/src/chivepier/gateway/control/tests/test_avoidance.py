"""Tests of sharing unreachable targets between entries."""

import random

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time

ENTRIES = 40
TARGETS = ("dead", "sound-1", "sound-2")


class Caller:
    """An entry that sends requests to three targets, one of them dead."""

    def __init__(self, follower, number: int):
        self.follower = follower
        clock = LoopClock()
        for name in TARGETS:
            follower.table.put(make(name, heard=tell_time() + 60.0))
        self.chooser = LoadBalancer(
            follower.table,
            TargetHealth(),
            follower.board,
            "z",
            clock,
            random.Random(number),
        )

    def send(self) -> bool:
        """Send one request; tell whether it was lost at the dead target."""
        target = self.chooser.choose("s", None, None)
        if target.instance != "dead":
            return False
        self.chooser.avoidance.avoid(target.instance)
        return True

    def count_avoiding(self) -> int:
        """Return how many entries are known to avoid the dead target."""
        now = tell_time()
        return self.follower.board.count_avoiding("dead", now)


def test_few_lost_requests_suffice_to_avoid_a_dead_target(tmp_path):
    # Guards against every entry losing a request to find out by itself that a
    # target is dead.
    async def test(fleet):
        followers = await fleet.follow_many(ENTRIES)
        for number, follower in enumerate(followers):
            # entries follow the voters of different zones, so that their
            # reports pass between the voters
            near = fleet.seeds[number % len(fleet.seeds)]
            await wait_until(lambda f=follower, n=near: f.hub == n)
        callers = [Caller(f, n) for n, f in enumerate(followers)]
        lost = 0
        for caller in callers:
            if caller.send():
                lost += 1
                for other in callers:
                    await wait_until(
                        lambda o=other: o.count_avoiding() >= min(lost, 3)
                    )
        # three reports suffice; without sharing, 13 to 20 of 40 lose a request
        assert lost <= 3

    play(test, tmp_path)


def test_reports_of_partitioned_entries_exclude_no_target(tmp_path):
    # Entries that avoid all targets are partitioned themselves; their reports
    # must not make others avoid any target.
    async def test(fleet):
        followers = await fleet.follow_many(5)
        callers = [Caller(f, n) for n, f in enumerate(followers)]
        for cut in callers[:4]:
            for name in TARGETS:
                cut.chooser.avoidance.avoid(name)
        last = callers[4]
        await wait_until(lambda: last.count_avoiding() == 4)
        ranked = last.chooser.rank("s", None, None)
        assert {target.instance for target in ranked} == set(TARGETS)

    play(test, tmp_path)
