"""Tests of voters whose disk has refused a write."""

import asyncio
import errno

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.test_absentvoters import list_voters
from chivepier.gateway.control.tests.test_replacements import CATCH_UP_SECONDS
from chivepier.gateway.control.tests.test_replacements import choose_voter
from chivepier.gateway.control.tests.test_replacements import RECOVER_SECONDS


async def refuse_write() -> None:
    """Refuse a write, as a full disk does."""
    raise OSError(errno.ENOSPC, "no space")


async def fill_disk(fleet) -> str:
    """Let each write of a follower fail; return its address."""
    address = await choose_voter(fleet, leads=False)
    storage = fleet.voters[address].replica.storage
    storage.sync = storage.renew = refuse_write
    await fleet.write(4, "refused by one")
    await asyncio.sleep(1.0)
    return address


@pytest.mark.parametrize("ends", (True, False))
def test_new_voter_gets_a_vote_beside_one_that_has_stopped(tmp_path, ends):
    # Guards against a candidate that can't be brought up to date, and holds
    # up all others for good.
    async def test(fleet):
        await fleet.write(3, "kept")
        stopped = await fill_disk(fleet)
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert stopped not in list_voters(fleet)
        if ends:
            await fleet.stop(stopped)
        fresh = fleet.make_address()
        await fleet.start(fresh)
        await asyncio.sleep(RECOVER_SECONDS)
        assert fresh in list_voters(fleet)

    play(test, tmp_path, 4)
