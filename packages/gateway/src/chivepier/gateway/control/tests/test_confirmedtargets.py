"""Tests of what an entry may take for all targets that there are."""

import asyncio

import attrs

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time

SPAN_SECONDS = 3.0


async def start_and_know(fleet):
    """Let an entry and all voters know of one target, for long enough."""
    follower = await fleet.follow("e1")
    await fleet.write(2)
    first = fleet.voters[fleet.seeds[0]]
    first.registry.announce(make("i1", heard=tell_time()))
    await wait_until(lambda: follower.table.get("i1") is not None)
    await asyncio.sleep(SPAN_SECONDS)
    return follower


def test_targets_that_most_voters_know_for_long_are_confirmed(tmp_path):
    async def test(fleet):
        follower = await start_and_know(fleet)
        assert await follower.following.confirm_targets(SPAN_SECONDS)
        await fleet.stop(fleet.seeds[0])
        await asyncio.sleep(0.1)
        assert await follower.following.confirm_targets(SPAN_SECONDS)
        await fleet.stop(fleet.seeds[1])
        await asyncio.sleep(0.1)
        assert not await follower.following.confirm_targets(SPAN_SECONDS)

    play(test, tmp_path)


def test_entry_that_has_just_been_cut_off_takes_no_voter_at_its_word(tmp_path):
    # Its links counted as alive, and it did not know of the newest targets.
    async def test(fleet):
        follower = await start_and_know(fleet)
        follower.links._faults.cut.add("*")
        assert not await follower.following.confirm_targets(SPAN_SECONDS)
        follower.links._faults.cut.clear()
        await wait_until(lambda: follower.hub is not None)
        while not await follower.following.confirm_targets(SPAN_SECONDS):
            await asyncio.sleep(0.1)

    play(test, tmp_path)


def test_missed_target_is_known_once_the_targets_are_confirmed(tmp_path):
    # A stream of its version was taken for one of the other version.
    async def test(fleet):
        follower = await start_and_know(fleet)
        await follower.finish_beats()
        beat = type(follower.following)._send_beat
        follower.following._send_beat = beat.__get__(follower.following)
        follower.drop_pushes()
        for voter in fleet.voters.values():
            voter.registry.announce(make("i2", heard=tell_time()))
        assert await follower.following.confirm_targets(SPAN_SECONDS)
        assert follower.table.get("i2") is not None

    play(test, tmp_path)


def test_voters_without_a_memory_confirm_no_targets(tmp_path):
    # They know of the targets that have announced themselves since alone.
    async def test(fleet):
        follower = await start_and_know(fleet)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds[:2]:
            await fleet.wipe(address)
        for address in fleet.seeds[:2]:
            await fleet.start(address, found=True)
        await asyncio.sleep(SPAN_SECONDS / 2)
        assert not await follower.following.confirm_targets(SPAN_SECONDS)
        await asyncio.sleep(SPAN_SECONDS)
        assert await follower.following.confirm_targets(SPAN_SECONDS)

    play(test, tmp_path)


def test_voters_that_have_read_their_file_confirm_targets_at_once(tmp_path):
    # Streams would be refused for some seconds after a restart of all.
    async def test(fleet):
        follower = await start_and_know(fleet)
        await asyncio.sleep(2.0)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            await fleet.start(address)
        fresh = await fleet.follow("e2")
        await wait_until(lambda: fresh.hub is not None)
        assert await fresh.following.confirm_targets(SPAN_SECONDS)
        assert fresh.table.get("i1") is not None
        assert follower.table.get("i1") is not None

    play(test, tmp_path)


def test_many_callers_wait_no_longer_than_two_rounds(tmp_path):
    # Guards against rounds one after the other, one for each caller.
    async def test(fleet):
        follower = await start_and_know(fleet)
        follower.links._faults.cut.add("*")
        began = tell_time()
        confirm = follower.following.confirm_targets
        await asyncio.gather(*(confirm(SPAN_SECONDS) for _ in range(40)))
        assert tell_time() - began < 0.6

    play(test, tmp_path)


def test_entry_learns_the_versions_of_targets_that_voters_have_forgotten(
    tmp_path,
):
    # Guards against a stream that goes on at the one version that is left, as
    # the targets of its own fell silent before all entries were killed.
    async def test(fleet):
        await fleet.write(2)
        began = tell_time()
        target = make("i1", heard=began)
        target.software_version = "v1"
        for voter in fleet.voters.values():
            voter.registry.announce(attrs.evolve(target))
        await wait_until(
            lambda: all(
                voter.table.get("i1") is None
                for voter in fleet.voters.values()
            )
        )
        follower = await fleet.follow("e1")
        assert await follower.following.confirm_targets(SPAN_SECONDS)
        versions = follower.table.list_versions_since("s", began)
        assert versions == {"v1"}

    play(test, tmp_path)
