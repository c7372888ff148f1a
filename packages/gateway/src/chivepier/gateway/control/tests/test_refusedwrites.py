"""Tests of voters whose disks refuse writes for a time."""

import asyncio
import contextlib
import errno

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.control.tests.test_absentvoters import list_voters
from chivepier.gateway.control.tests.test_replacements import CATCH_UP_SECONDS
from chivepier.gateway.control.tests.test_replacements import check_kept
from chivepier.gateway.control.tests.test_replacements import choose_voter
from chivepier.gateway.control.tests.test_replacements import lose_disks
from chivepier.gateway.control.tests.test_replacements import TOUCH_SECONDS
from chivepier.state.testing import RefusingDisk

# Seconds for which a disk refuses.
FULL_SECONDS = 3.5
ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.EFBIG)
# More calls than a voter makes for one change and the state beside it.
MOST_CALLS = 12


@contextlib.contextmanager
def refusing(fleet: Fleet):
    """Give each voter a disk that can refuse; yield them by address."""
    with contextlib.ExitStack() as stack:
        yield {
            address: stack.enter_context(
                RefusingDisk(fleet.find_folder(address))
            )
            for address in fleet.voters
        }


async def fill(
    fleet: Fleet, disks: list[RefusingDisk], version: int = 4, **options
) -> None:
    """Let disks refuse for some seconds, beside a new version."""
    for disk in disks:
        disk.refuse(**options)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FULL_SECONDS):
            await fleet.write(version, "beside")
            await asyncio.sleep(FULL_SECONDS)
    for disk in disks:
        disk.accept()


async def choose_another(fleet: Fleet, leads: bool, last: str) -> str:
    """Return the leader, or a voter that follows and isn't the last one."""
    leader = await choose_voter(fleet, leads=True)
    if leads:
        return leader
    return next(a for a in fleet.voters if a not in (leader, last))


async def check_change(fleet: Fleet, version: int) -> None:
    """Check that a change is acknowledged, and read at each voter."""
    async with asyncio.timeout(TOUCH_SECONDS):
        await fleet.write(version, "after")
        for address in fleet.voters:
            body = await fleet.read(address)
            assert body == f"{version} after".encode()


@pytest.mark.parametrize("leads", (True, False))
@pytest.mark.parametrize("size", (3, 4, 5))
def test_disks_that_are_full_one_after_the_other_cost_no_voter(
    tmp_path, size, leads
):
    # Guards against a voter that takes no part any more once its disk has
    # refused a write: after two of them no read and no change is answered.
    async def test(fleet):
        await fleet.write(3, "kept")
        filled = ""
        with refusing(fleet) as disks:
            for version in range(4, 4 + 2 * size, 2):
                filled = await choose_another(fleet, leads, filled)
                await fill(fleet, [disks[filled]], version)
                await check_change(fleet, version + 1)

    play(test, tmp_path, size)


@pytest.mark.parametrize("count", (2, 3))
def test_disks_that_are_full_at_once_cost_no_voter(tmp_path, count):
    # Guards against the same where a quorum refuses at the same moment.
    async def test(fleet):
        await fleet.write(3, "kept")
        await wait_until(fleet.find_leader)
        with refusing(fleet) as disks:
            await fill(fleet, list(disks.values())[:count])
            await check_change(fleet, 5)

    play(test, tmp_path, 3)


@pytest.mark.parametrize("torn", (False, True), ids=("whole", "torn"))
@pytest.mark.parametrize("accepted", range(MOST_CALLS))
@pytest.mark.parametrize("leads", (True, False))
def test_disk_that_was_full_at_any_call_bears_the_loss_of_another(
    tmp_path, accepted, leads, torn
):
    # Guards against a full disk, long over, that makes the next lost disk
    # one too many, and against an acknowledged change that goes with it.
    async def test(fleet):
        await fleet.write(3, "kept")
        with refusing(fleet) as disks:
            address = await choose_voter(fleet, leads)
            error = ERRORS[accepted % len(ERRORS)]
            await fill(
                fleet,
                [disks[address]],
                error=error,
                accepted=accepted,
                torn=torn,
            )
            await check_change(fleet, 5)
            await asyncio.sleep(CATCH_UP_SECONDS)
            other = next(a for a in fleet.voters if a != address)
            await lose_disks(fleet, [other])
            await check_kept(fleet, b"5 after")

    play(test, tmp_path, 3)


@pytest.mark.parametrize("trouble", ("restart", "cut", "replace", "kill_all"))
@pytest.mark.parametrize("leads", (True, False))
def test_full_disk_beside_another_trouble_costs_no_voter(
    tmp_path, trouble, leads
):
    # Guards against a voter that comes back from a full disk only alone.
    async def test(fleet):
        await fleet.write(3, "kept")
        with refusing(fleet) as disks:
            address = await choose_voter(fleet, leads)
            disks[address].refuse()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await fleet.write(4, "beside")
            await meet(fleet, trouble, address)
            disks[address].accept()
            await asyncio.sleep(CATCH_UP_SECONDS)
            await check_change(fleet, 5)
            await wait_until(lambda: address in list_voters(fleet))

    play(test, tmp_path, 3)


async def meet(fleet: Fleet, trouble: str, address: str) -> None:
    """Disturb the voters beside one whose disk refuses."""
    other = next(a for a in fleet.voters if a != address)
    match trouble:
        case "restart":
            await fleet.stop(address)
            await fleet.start(address)
        case "cut":
            fleet.cut(other)
            await asyncio.sleep(TOUCH_SECONDS)
            fleet.heal(other)
        case "replace":
            await fleet.start(fleet.make_address())
            await asyncio.sleep(CATCH_UP_SECONDS)
            await fleet.stop_in_order(other)
        case "kill_all":
            addresses = list(fleet.voters)
            await asyncio.gather(*map(fleet.stop, addresses))
            for each in addresses:
                await fleet.start(each)


def test_new_voter_waits_for_a_disk_that_refuses(tmp_path):
    # Guards against a process that ends at each start on a full disk.
    async def test(fleet):
        await fleet.write(3, "kept")
        address = fleet.make_address()
        folder = fleet.find_folder(address)
        with RefusingDisk(folder) as disk:
            disk.refuse()
            start = asyncio.create_task(fleet.start(address))
            await asyncio.sleep(FULL_SECONDS)
            assert not start.done()
            disk.accept()
            await start
            await asyncio.sleep(CATCH_UP_SECONDS)
            assert address in list_voters(fleet)

    play(test, tmp_path, 3)


def test_configuration_is_saved_once_the_disk_accepts_it(tmp_path):
    # Guards against an older configuration after the end of all processes,
    # because the write of the newest was refused and nobody tried it again.
    async def test(fleet):
        await wait_until(fleet.find_leader)
        with refusing(fleet) as disks:
            await asyncio.sleep(CATCH_UP_SECONDS)
            address = await choose_voter(fleet, leads=False)
            disks[address].refuse()
            await fleet.write(3, "kept")
            await asyncio.sleep(FULL_SECONDS)
            disks[address].accept()
            await asyncio.sleep(CATCH_UP_SECONDS)
            await fleet.stop(address)
            voter = await fleet.start(address)
            assert voter.store.find_committed().version == 3

    play(test, tmp_path, 3)
