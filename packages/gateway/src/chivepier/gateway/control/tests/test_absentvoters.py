"""Tests of voters that lose their vote while they are cut off or stand still.

They can't learn of it by the log, as they get it no more.
"""

import asyncio

import pytest

from chivepier.gateway.control.removalpolicy import count_borne
from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.test_replacements import CATCH_UP_SECONDS
from chivepier.gateway.control.tests.test_replacements import check_kept
from chivepier.gateway.control.tests.test_replacements import choose_voter
from chivepier.gateway.control.tests.test_replacements import end
from chivepier.gateway.control.tests.test_replacements import lose_disks

# For so long a voter is away; its vote is taken after half of that.
AWAY_SECONDS = 3.0


def list_voters(fleet: Fleet) -> set[str]:
    """Return the addresses of the voters as the leader knows them."""
    leader = fleet.find_leader()
    return {voter.address for voter in leader.replica.voters}


@pytest.mark.parametrize("size", (4, 6))
@pytest.mark.parametrize("leads", (True, False))
def test_voter_that_was_cut_off_gets_its_vote_back(tmp_path, size, leads):
    # Guards against a voter that believes in a vote that was taken, and asks
    # for none: the next losses find one voter too few.
    async def test(fleet):
        await fleet.write(3, "kept")
        away = await choose_voter(fleet, leads)
        fleet.cut(away)
        await asyncio.sleep(AWAY_SECONDS)
        assert away not in list_voters(fleet)
        fleet.heal(away)
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert away in list_voters(fleet)
        assert await fleet.read(away) == b"3 kept"

    play(test, tmp_path, size)


@pytest.mark.parametrize("in_order", (True, False))
@pytest.mark.parametrize("wakes_first", (True, False))
def test_disk_lost_after_a_replacement_beside_an_absent_voter(
    tmp_path, in_order, wakes_first
):
    # Guards against a vote that an absent voter does not get back while a
    # replaced one that is gone keeps its own: one of three is left.
    async def test(fleet):
        await fleet.write(3, "kept")
        await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        away = await choose_voter(fleet, leads=False)
        old, third = (a for a in fleet.seeds if a != away)
        fleet.cut(away)
        await asyncio.sleep(AWAY_SECONDS)
        if wakes_first:
            fleet.heal(away)
        await end(fleet, old, in_order)
        fleet.heal(away)
        await asyncio.sleep(2 * CATCH_UP_SECONDS)
        await fleet.write(4, "after")
        await lose_disks(fleet, [third])
        await check_kept(fleet, b"4 after")

    play(test, tmp_path, tolerated=1)


@pytest.mark.parametrize("size", (4, 5))
def test_disks_lost_behind_an_absent_voter(tmp_path, size):
    # Guards against a read from a voter whose vote was taken, as the others
    # have lost power, one of them its disk, and come back.
    async def test(fleet):
        await fleet.write(3, "kept")
        away = await choose_voter(fleet, leads=False)
        fleet.cut(away)
        await asyncio.sleep(AWAY_SECONDS)
        await fleet.write(4, "after")
        others = [a for a in fleet.voters if a != away]
        await asyncio.gather(*map(fleet.stop, others))
        await fleet.wipe(others[0])
        fleet.heal(away)
        for address in others:
            await fleet.start(address)
        await check_kept(fleet, b"4 after")

    play(test, tmp_path, size, tolerated=count_borne(size))
