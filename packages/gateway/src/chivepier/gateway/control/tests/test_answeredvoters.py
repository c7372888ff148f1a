"""Tests of voters that a leader answers while its log does not reach them."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.control.voter import Voter

# Seconds within which a change is in force after its acknowledgement.
APPLY_SECONDS = 2.0


async def drop(request) -> None:
    """Take an append that is lost on its way."""
    await asyncio.Event().wait()


async def follow_one(fleet: Fleet) -> tuple[Voter, Follower]:
    """Return a voter that does not lead and an entry that hears it alone."""
    await fleet.write(1)
    entry = await fleet.follow("e")
    await wait_until(lambda: entry.state.index is not None)
    voter = next(v for v in fleet.voters.values() if not v.replica.leads())
    for address, other in fleet.voters.items():
        if other is not voter:
            entry.links._faults.cut.add(address)
    return voter, entry


async def write_here(fleet: Fleet, voter: Voter) -> None:
    """Make a change through a voter, which passes it on."""
    assert await voter.store.write(2, b"2 changed")


async def write_there(fleet: Fleet, voter: Voter) -> None:
    """Make a change through the leader, and read it through a voter."""
    assert await fleet.find_leader().store.write(2, b"2 changed")
    assert (await voter.store.read()).version == 2


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("change", (write_here, write_there))
def test_change_a_voter_has_answered_for_is_in_force_at_its_entries(
    tmp_path, size, change
):
    # Guards against a change that a voter acknowledges, or reads out, and
    # does not tell its entries until the log reaches it.
    async def test(fleet):
        voter, entry = await follow_one(fleet)
        voter.replica.handle_append = drop
        await change(fleet, voter)
        async with asyncio.timeout(APPLY_SECONDS):
            await wait_until(lambda: entry.state.index.version == 2)

    play(test, tmp_path, size)


def test_other_content_of_a_version_is_not_taken_for_the_stored_one(tmp_path):
    # Guards against entries that obey what was sent under a version that is
    # stored with other content.
    async def test(fleet):
        voter, _ = await follow_one(fleet)
        voter.replica.handle_append = drop
        assert await fleet.find_leader().store.write(2, b"2 stored")
        assert await voter.store.write(2, b"2 other")
        assert voter.store.find_committed().body != b"2 other"

    play(test, tmp_path)
