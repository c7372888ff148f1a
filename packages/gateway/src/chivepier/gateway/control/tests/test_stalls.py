"""Tests of a control plane whose processes stall repeatedly.

Leases, beats, permits and timeouts expire during a stall. This may delay
operations, but every one must succeed in the end.
"""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.control.tests.stalls import Stalls
from chivepier.gateway.control.tests.test_permitservice import make_cold
from chivepier.gateway.control.tests.test_permitservice import SendRecorder
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time

ENTRIES = 7
WITH_STALLS = pytest.mark.parametrize("seconds", (0.1, 0.5, 2.0))


def play_with_stalls(test, tmp_path, seconds: float) -> None:
    """Run a test with all nodes stalled for a third of the time.

    :param test: called with the fleet and its entries
    :param seconds: maximum duration of one stall
    """

    async def follow(fleet: Fleet) -> None:
        await test(fleet, await fleet.follow_many(ENTRIES))

    stalls = Stalls(seed=1, mean_gap=seconds, max_seconds=seconds)
    play(follow, tmp_path, find_delay=stalls.find_delay)


async def announce(fleet: Fleet, followers, name: str) -> None:
    """Announce a target to a voter until all entries know it."""

    def is_known() -> bool:
        fleet.voters[fleet.seeds[0]].registry.announce(
            make(name, heard=tell_time())
        )
        return all(f.table.get(name) is not None for f in followers)

    await wait_until(is_known)


@WITH_STALLS
def test_stalling_entries_get_each_configuration(tmp_path, seconds):
    async def test(fleet, followers):
        for version in (1, 2, 3):
            await fleet.write(version)
            await wait_until(
                lambda v=version: all(
                    f.state.index is not None and f.state.index.version == v
                    for f in followers
                )
            )

    play_with_stalls(test, tmp_path, seconds)


@WITH_STALLS
def test_stalling_entries_know_targets_and_loads_of_others(tmp_path, seconds):
    async def test(fleet, followers):
        await announce(fleet, followers, "i1")
        for follower in followers:
            follower.board.adjust_own("i1", tokens=100)
        everything = 100 * len(followers)
        await wait_until(
            lambda: all(f.tokens("i1") == everything for f in followers)
        )

    play_with_stalls(test, tmp_path, seconds)


@WITH_STALLS
def test_stalling_entries_are_all_counted(tmp_path, seconds):
    async def test(fleet, followers):
        await wait_until(
            lambda: all(f.state.entries == ENTRIES for f in followers)
        )

    play_with_stalls(test, tmp_path, seconds)


@WITH_STALLS
def test_stalling_entries_share_leaving_targets_and_limits(tmp_path, seconds):
    async def test(fleet, followers):
        await announce(fleet, followers, "i1")
        await announce(fleet, followers, "i2")
        told, now = followers[-1], tell_time()
        told.leavers.record(told.table.get("i1"), now)
        known = told.limits.find("i2", 0)
        told.limits.observe("i2", 0, known, RateLimit(2.5), now)
        for follower in followers:
            await wait_until(lambda f=follower: f.table.is_leaving("i1"))
            await wait_until(
                lambda f=follower: f.limits.find_rate("i2", 0) == 2.5
            )

    play_with_stalls(test, tmp_path, seconds)


@WITH_STALLS
def test_stalling_entries_get_permits_for_cold_targets(tmp_path, seconds):
    async def test(fleet, followers):
        target = make_cold()
        for follower in followers:
            sends = SendRecorder()
            while not await sends.send(follower, target):
                await asyncio.sleep(0.02)

    play_with_stalls(test, tmp_path, seconds)
