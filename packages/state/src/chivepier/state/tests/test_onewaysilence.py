"""Tests of voters between which one direction is silent."""

import asyncio
import collections.abc
import contextlib

import pytest

from chivepier.messages import encode
from chivepier.messages import Noop
from chivepier.state import Replica
from chivepier.state.testing.rig import Rig

SEEDS = range(3)
SILENT_SECONDS = 6.0
# Seconds between two changes.
CHANGE_SECONDS = 0.3
# Seconds within which a change is in force, calm or not.
APPLY_SECONDS, UNSTABLE_SECONDS = 2.0, 5.0
# Seconds for which a voter may say that it knows what is committed.
CURRENT_SECONDS = 1.1

Path = tuple[str, str]
Silence = collections.abc.Callable[[str, list[str]], set[Path]]

FOLLOWERS: dict[str, Silence] = {
    "mute": lambda leader, rest: {(rest[0], n) for n in (leader, *rest[1:])},
    "deaf": lambda leader, rest: {(n, rest[0]) for n in (leader, *rest[1:])},
    "unheard by the leader": lambda leader, rest: {(rest[0], leader)},
    "not reached by the leader": lambda leader, rest: {(leader, rest[0])},
    "unheard by another": lambda leader, rest: {(rest[0], rest[1])},
}
LEADERS: dict[str, Silence] = {
    "mute": lambda leader, rest: {(leader, n) for n in rest},
    "deaf": lambda leader, rest: {(n, leader) for n in rest},
    "unheard by all but one": lambda leader, rest: {
        (leader, n) for n in rest[1:]
    },
    "deaf to all but one": lambda leader, rest: {
        (n, leader) for n in rest[1:]
    },
}


class Watch:
    """Makes changes, and measures what silences cost them.

    :param rig: the voters
    :ivar leaders: those that have led, in order
    :ivar longest: the longest time without a leader that may be read from
    :ivar stale: for how long at most a voter said that it is current and
        lacked what was committed
    """

    def __init__(self, rig: Rig):
        self._rig = rig
        self._commits: dict[int, float] = {}
        self._led_at = self._changed_at = rig.clock.monotonic()
        self.leaders: list[str] = []
        self.longest = self.stale = 0.0

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self._rig.clock.monotonic() + seconds
        while self._rig.clock.monotonic() < end:
            await self._rig.step()
            now = self._rig.clock.monotonic()
            for replica in list(self._rig.replicas.values()):
                self._look(replica, now)

    def _look(self, replica: Replica, now: float) -> None:
        if replica.leads() and replica.is_current():
            self.longest = max(self.longest, now - self._led_at)
            self._led_at = now
            if self.leaders[-1:] != [replica.node]:
                self.leaders.append(replica.node)
            self._commits.setdefault(replica.commit, now)
            if now - self._changed_at >= CHANGE_SECONDS:
                self._changed_at = now
                task = asyncio.ensure_future(propose(replica))
                self._rig.network._tasks.add(task)
        elif replica.is_current():
            lacked = [
                now - at
                for index, at in self._commits.items()
                if index > replica.machine.index
            ]
            self.stale = max(self.stale, *lacked, 0.0)


async def propose(replica: Replica) -> None:
    """Make a change, whatever becomes of it."""
    with contextlib.suppress(Exception):
        await replica.propose(encode(Noop()))


async def play(size: int, seed: int, silence: Silence) -> Watch:
    """Silence paths for some seconds and let them be heard again."""
    async with Rig(size, seed) as rig:
        leader = await rig.await_leader()
        await rig.step(1.0)
        rest = [name for name in rig.replicas if name != leader.node]
        watch = Watch(rig)
        rig.network.cut |= silence(leader.node, rest)
        await watch.run(SILENT_SECONDS)
        rig.network.cut.clear()
        await watch.run(APPLY_SECONDS)
        index = max(r.commit for r in rig.replicas.values())
        await rig.wait(
            lambda: all(
                r.is_current() and r.machine.index >= index
                for r in rig.replicas.values()
            ),
            APPLY_SECONDS,
        )
    return watch


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("name", FOLLOWERS)
def test_follower_silent_one_way_costs_no_leader(size, name):
    # Guards against a follower that can't be heard, or hears nobody, and
    # deposes the leader of the others.
    async def test():
        for seed in SEEDS:
            watch = await play(size, seed, FOLLOWERS[name])
            assert len(watch.leaders) == 1, f"seed {seed}"
            assert watch.longest < CHANGE_SECONDS, f"seed {seed}"
            assert watch.stale < CURRENT_SECONDS, f"seed {seed}"

    asyncio.run(test())


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("name", LEADERS)
def test_leader_silent_one_way_is_replaced_once(size, name):
    # Guards against a leader that is heard and hears nobody, and goes on, and
    # against leads that change again and again.
    async def test():
        for seed in SEEDS:
            watch = await play(size, seed, LEADERS[name])
            assert len(watch.leaders) <= 2, f"seed {seed}"
            assert watch.longest < UNSTABLE_SECONDS, f"seed {seed}"
            assert watch.stale < CURRENT_SECONDS, f"seed {seed}"

    asyncio.run(test())
