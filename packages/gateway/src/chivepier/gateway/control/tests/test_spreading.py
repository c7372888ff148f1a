"""Tests of how soon an acknowledged configuration is in force at entries."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.standins.loopclock import tell_time

ENTRIES = 7
# Within this of its acknowledgement, a configuration is in force.
APPLY_SECONDS = 2.0
# Within this of a disturbance, everybody counts as undisturbed again.
TOUCH_SECONDS = 3.0
SIZES = pytest.mark.parametrize("size", (3, 4, 5))


def holds(follower: Follower, version: int) -> bool:
    """Tell whether an entry serves by a version or a later one."""
    index = follower.state.index
    return index is not None and index.version >= version


async def spread_first(fleet: Fleet) -> list[Follower]:
    """Start entries, and spread a first configuration to them."""
    followers = await fleet.follow_many(ENTRIES)
    await fleet.write(1)
    await wait_until(lambda: all(holds(f, 1) for f in followers))
    return followers


async def await_version(
    followers: list[Follower], version: int, seconds: float
) -> None:
    """Wait until all entries hold a version; fail after some time."""
    async with asyncio.timeout(seconds):
        await wait_until(lambda: all(holds(f, version) for f in followers))


@SIZES
@pytest.mark.parametrize("pause", (0.0, 0.1, 0.2, 0.7))
def test_version_is_in_force_in_time_as_all_links_go_silent(
    tmp_path, size, pause
):
    # Guards against routes that all entries refuse, as their links to the
    # voters went silent without a reset right after the acknowledgement.
    async def test(fleet):
        followers = await spread_first(fleet)
        await asyncio.sleep(1 + pause)
        leader = fleet.find_leader()
        assert await leader.store.write(2, b"2 more")
        fleet.silence_links()
        await await_version(followers, 2, APPLY_SECONDS)

    play(test, tmp_path, size)


@SIZES
def test_change_is_acknowledged_in_time_after_all_links_went_silent(
    tmp_path, size
):
    # Guards against a leader that is lost, and voters that can't be elected,
    # as each link is replaced only seconds after its first lost request.
    async def test(fleet):
        followers = await spread_first(fleet)
        await asyncio.sleep(1)
        fleet.silence_links()
        async with asyncio.timeout(TOUCH_SECONDS):
            await fleet.write(2)
        await await_version(followers, 2, APPLY_SECONDS)

    play(test, tmp_path, size)


@SIZES
def test_reads_are_answered_by_every_voter_after_its_link_went_silent(
    tmp_path, size
):
    # Guards against a link that was idle since it went silent, and loses the
    # first reads, however long ago that was.
    async def test(fleet):
        await spread_first(fleet)
        for address in fleet.seeds:
            await fleet.read(address)
        fleet.silence_links()
        await asyncio.sleep(TOUCH_SECONDS)
        began = tell_time()
        for address in fleet.seeds:
            assert await fleet.voters[address].store.read() is not None
        assert tell_time() - began < 0.1

    play(test, tmp_path, size)
