"""Tests of how soon an acknowledged configuration is in force at entries."""

import asyncio
import random
import types

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import ConfigNotice
from chivepier.gateway.serving import Planner
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import seconds_to_retry

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


def denies(follower: Follower) -> bool:
    """Tell whether an entry denies a route that it does not know."""
    request = make_request()
    planner = Planner(follower.state, random.Random(1))
    with pytest.raises(RequestError) as raised:
        planner.plan(request)
    failure = raised.value.failure
    if failure.kind is ErrorKind.NOT_READY:
        assert seconds_to_retry(failure) > 0
        return False
    assert failure.kind is ErrorKind.NOT_FOUND
    return True


@SIZES
def test_entry_denies_at_once_only_what_the_newest_version_lacks(
    tmp_path, size
):
    # Guards against a 404 for a route that was added while the entry heard no
    # voter, or only one that had lost sight of the others.
    async def test(fleet):
        (follower,) = await fleet.follow_many(1)
        assert not denies(follower)
        await fleet.write(1)
        await wait_until(lambda: holds(follower, 1))
        async with asyncio.timeout(APPLY_SECONDS):
            await wait_until(lambda: denies(follower))
        for _ in range(50):
            assert denies(follower)
            await asyncio.sleep(0.1)
        leader = fleet.find_leader()
        alone = next(a for a, v in fleet.voters.items() if v is not leader)
        fleet.cut_off(alone)
        follower.faults.cut.update(a for a in fleet.seeds if a != alone)
        acknowledged = tell_time()
        assert await leader.store.write(2, b"2 more")
        while tell_time() - acknowledged < 10:
            late = tell_time() - acknowledged > APPLY_SECONDS
            assert not (late and denies(follower))
            await asyncio.sleep(0.1)
        fleet.join(alone)
        follower.faults.cut.clear()
        await await_version([follower], 2, 2 * TOUCH_SECONDS)
        async with asyncio.timeout(APPLY_SECONDS):
            await wait_until(lambda: denies(follower))

    play(test, tmp_path, size)


def test_version_that_was_told_and_not_fetched_yet_denies_nothing(tmp_path):
    # Guards against a 404 between a voter's word of a newer version and the
    # version itself.
    async def test(fleet):
        (follower,) = await fleet.follow_many(1)
        await fleet.write(1)
        await wait_until(lambda: holds(follower, 1) and denies(follower))
        voter = types.SimpleNamespace(peer=fleet.seeds[0])
        follower.following.handle(ConfigNotice(2), voter)
        assert not denies(follower)
        assert await fleet.find_leader().store.write(2, b"2 more")
        await wait_until(lambda: holds(follower, 2) and denies(follower))

    play(test, tmp_path)
