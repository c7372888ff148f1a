"""Tests of what entries tell each other of targets that don't answer."""

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
    """An entry that sends lookups to three targets, one of them dead."""

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
        """Send one lookup; whether a dead target lost it."""
        target = self.chooser.choose("s", None, None)
        if target.instance != "dead":
            return False
        self.chooser.avoid_unreachable(target.instance)
        return True

    def count_avoiding(self) -> int:
        """Count the entries that avoid the dead target, as known here."""
        now = tell_time()
        return self.follower.board.count_avoiding("dead", now)


def test_entries_need_not_each_lose_a_request_at_a_dead_target(tmp_path):
    # Each entry found out by itself, with a lost request, that a target is
    # dead.
    async def test(fleet):
        followers = await fleet.follow_many(ENTRIES)
        for number, follower in enumerate(followers):
            # each the voter of its zone: what they say crosses between them
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
        # three words are enough; by themselves, 13 to 20 of 40 lost one
        assert lost <= 3

    play(test, tmp_path)


def test_entry_that_reaches_no_target_takes_none_from_the_others(tmp_path):
    # It is the entries' zone that is cut off there, not the targets: what
    # all of them are said to be is no reason to avoid one.
    async def test(fleet):
        followers = await fleet.follow_many(5)
        callers = [Caller(f, n) for n, f in enumerate(followers)]
        for cut in callers[:4]:
            for name in TARGETS:
                cut.chooser.avoid_unreachable(name)
        last = callers[4]
        await wait_until(lambda: last.count_avoiding() == 4)
        ranked = last.chooser.rank("s", None, None)
        assert {target.instance for target in ranked} == set(TARGETS)

    play(test, tmp_path)
