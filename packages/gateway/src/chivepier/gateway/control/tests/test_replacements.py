"""Tests of voters that are replaced or restarted before disks are lost."""

import asyncio

import pytest

from chivepier.gateway.control.removalpolicy import count_borne
from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until

# After this, an instance that was replaced no longer counts as lost.
CATCH_UP_SECONDS = 4.0
# Within this of the last loss, the configuration can be read again.
RECOVER_SECONDS = 12.0
# Time for which an instance that loses its disk is down.
DOWN_SECONDS = 3.0
# Within this, an operator gets an answer.
TOUCH_SECONDS = 3.0


async def choose_voter(fleet: Fleet, leads: bool) -> str:
    """Return the address of a voter that leads, or of one that follows."""
    await wait_until(lambda: fleet.find_leader() is not None)
    leader = fleet.find_leader()
    return next(
        address
        for address, voter in fleet.voters.items()
        if (voter is leader) == leads
    )


async def end(fleet: Fleet, address: str, in_order: bool) -> None:
    """End a voter for good."""
    if in_order:
        await fleet.stop_in_order(address)
    else:
        await fleet.stop(address)


async def lose_disks(fleet: Fleet, addresses: list[str]) -> None:
    """Lose several disks at once; the voters come back with empty ones."""
    await asyncio.gather(*map(fleet.stop, addresses))
    # a process that starts is told of machines that are there
    fleet.seeds = tuple(fleet.voters)
    for address in addresses:
        await fleet.wipe(address)
    await asyncio.sleep(DOWN_SECONDS)
    for address in addresses:
        await fleet.start(address)


async def check_kept(fleet: Fleet, text: bytes) -> None:
    """Check that a configuration is there, and that another can follow."""
    await asyncio.sleep(RECOVER_SECONDS)
    async with asyncio.timeout(TOUCH_SECONDS):
        for address in list(fleet.voters):
            assert await fleet.read(address) == text
        await fleet.write(99, "later")


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("leads", (True, False))
@pytest.mark.parametrize("in_order", (True, False))
@pytest.mark.parametrize("is_told", (True, False))
def test_planned_replacement_and_then_lost_disks_leave_a_quorum(
    tmp_path, size, leads, in_order, is_told
):
    # Guards against a voter that has left for good and keeps its vote: the
    # next lost disk then leaves two of four, and no majority ever again.
    async def test(fleet):
        await fleet.write(3, "kept")
        old = await choose_voter(fleet, leads)
        await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        await end(fleet, old, in_order)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await fleet.write(4, "after")
        lost = list(fleet.voters)[: count_borne(size)]
        await lose_disks(fleet, lost)
        await check_kept(fleet, b"4 after")

    tolerated = count_borne(size) if is_told else None
    play(test, tmp_path, size, tolerated=tolerated)


def test_disk_lost_as_soon_as_a_voter_has_stopped_in_order(tmp_path):
    # Guards against a vote that is taken only after the stop.
    async def test(fleet):
        await fleet.write(3, "kept")
        old = await choose_voter(fleet, leads=False)
        await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        await end(fleet, old, in_order=True)
        await lose_disks(fleet, list(fleet.voters)[:1])
        await check_kept(fleet, b"3 kept")

    play(test, tmp_path)


def test_successor_that_stops_in_order_gives_its_vote_up(tmp_path):
    # Guards against a vote that is kept by a voter that has joined, which
    # does not know the cluster's name.
    async def test(fleet):
        await fleet.write(3, "kept")
        fresh = fleet.make_address()
        await fleet.start(fresh)
        await wait_until(fleet.voters[fresh].replica.votes)
        await fleet.stop_in_order(fresh)
        await wait_until(lambda: fleet.find_leader() is not None)
        voters = fleet.find_leader().replica.voters
        assert fresh not in {voter.address for voter in voters}

    play(test, tmp_path)


@pytest.mark.parametrize("in_order", (True, False))
def test_all_voters_replaced_in_series_leave_a_quorum(tmp_path, in_order):
    # Guards against votes that pile up with each replacement.
    async def test(fleet):
        await fleet.write(3, "kept")
        for address in fleet.seeds:
            await fleet.start(fleet.make_address())
            await asyncio.sleep(CATCH_UP_SECONDS)
            await end(fleet, address, in_order)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await lose_disks(fleet, list(fleet.voters)[:1])
        await check_kept(fleet, b"3 kept")

    play(test, tmp_path, tolerated=1)


@pytest.mark.parametrize("in_order", (True, False))
def test_two_replacements_at_once_leave_a_quorum(tmp_path, in_order):
    # Guards against two votes of voters that are gone, of an odd number.
    async def test(fleet):
        await fleet.write(3, "kept")
        for _ in range(2):
            await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        ends = [end(fleet, address, in_order) for address in fleet.seeds[:2]]
        await asyncio.gather(*ends)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await lose_disks(fleet, list(fleet.voters)[:1])
        await check_kept(fleet, b"3 kept")

    play(test, tmp_path, tolerated=1)


@pytest.mark.parametrize("in_order", (True, False))
def test_successor_that_comes_after_the_end_leaves_a_quorum(
    tmp_path, in_order
):
    # Guards against a leader that knows neither of the end nor the arrival.
    async def test(fleet):
        await fleet.write(3, "kept")
        old = await choose_voter(fleet, leads=True)
        await end(fleet, old, in_order)
        await asyncio.sleep(1.0)
        await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        await lose_disks(fleet, list(fleet.voters)[:1])
        await check_kept(fleet, b"3 kept")

    play(test, tmp_path)


def test_replacement_while_another_voter_restarts_leaves_a_quorum(tmp_path):
    # Guards against taking the vote of the wrong one of two.
    async def test(fleet):
        await fleet.write(3, "kept")
        await fleet.start(fleet.make_address())
        await asyncio.sleep(CATCH_UP_SECONDS)
        old, other, _ = fleet.seeds
        await fleet.stop(other)
        await fleet.stop(old)
        await asyncio.sleep(1.0)
        await fleet.start(other)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await lose_disks(fleet, list(fleet.voters)[:1])
        await check_kept(fleet, b"3 kept")

    play(test, tmp_path)


@pytest.mark.parametrize("size", (4, 5, 6))
@pytest.mark.parametrize("is_told", (True, False))
def test_disks_lost_while_another_voter_is_away(tmp_path, size, is_told):
    # Guards against taking the vote of a voter that only restarts where its
    # disk is needed next.
    async def test(fleet):
        await fleet.write(3, "kept")
        away = await choose_voter(fleet, leads=False)
        await fleet.stop(away)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await fleet.write(4, "after")
        lost = list(fleet.voters)[: count_borne(size)]
        await lose_disks(fleet, lost)
        await fleet.start(away)
        await check_kept(fleet, b"4 after")

    tolerated = count_borne(size) if is_told else None
    play(test, tmp_path, size, tolerated=tolerated)


@pytest.mark.parametrize("size", (3, 4, 5))
def test_rolling_restart_gives_every_vote_back(tmp_path, size):
    # Guards against a rolling restart that takes one vote after the other.
    async def test(fleet):
        await fleet.write(3, "kept")
        for address in fleet.seeds:
            await fleet.stop_in_order(address)
            restarted = await fleet.start(address)
            await asyncio.sleep(CATCH_UP_SECONDS)
            assert restarted.replica.votes()
            assert len(restarted.replica.voters) == size
        await fleet.write(4, "after")
        assert await fleet.read(fleet.seeds[0]) == b"4 after"

    play(test, tmp_path, size)


@pytest.mark.parametrize("size", (3, 4, 5, 6))
def test_voters_that_all_stop_at_once_keep_every_vote(tmp_path, size):
    # Guards against giving up more than the one vote that can be spared.
    async def test(fleet):
        await fleet.write(3, "kept")
        await asyncio.gather(*map(fleet.stop_in_order, fleet.seeds))
        for address in fleet.seeds:
            await fleet.start(address)
        await asyncio.sleep(CATCH_UP_SECONDS)
        for address in fleet.seeds:
            assert await fleet.read(address) == b"3 kept"
            assert len(fleet.voters[address].replica.voters) == size
            assert fleet.voters[address].replica.votes()

    play(test, tmp_path, size)


# Time for which a voter is cut off, or stands still: longer than a silent one
# keeps a vote that the others can spare.
STILL_SECONDS = 3.0


async def await_vote(fleet: Fleet, address: str) -> None:
    """Wait until the leader counts a voter, and until it holds the log."""

    def has_vote() -> bool:
        leader = fleet.find_leader()
        voters = leader.replica.voters if leader else ()
        return address in {v.address for v in voters}

    async with asyncio.timeout(CATCH_UP_SECONDS):
        await wait_until(has_vote)


@pytest.mark.parametrize("size", (3, 4, 5))
@pytest.mark.parametrize("leads", (True, False))
def test_voter_that_was_cut_off_has_its_vote_and_the_newest_version_again(
    tmp_path, size, leads
):
    # Guards against a voter that lost its vote while it was cut off, waits
    # for the leader that it heard last, and keeps an old version for good.
    async def test(fleet):
        await fleet.write(3, "before")
        await asyncio.sleep(1.0)
        cut = await choose_voter(fleet, leads)
        fleet.cut_off(cut)
        await asyncio.sleep(STILL_SECONDS)
        others = [a for a in fleet.voters if a != cut]
        while not await fleet.voters[others[0]].store.write(4, b"4 meanwhile"):
            await asyncio.sleep(0.02)
        fleet.join(cut)
        await await_vote(fleet, cut)
        store = fleet.voters[cut].store
        async with asyncio.timeout(TOUCH_SECONDS):
            await wait_until(lambda: store.find_committed().version == 4)

    play(test, tmp_path, size)


@pytest.mark.parametrize("size", (3, 5))
def test_replacement_while_another_voter_stands_still_leaves_a_quorum(
    tmp_path, size
):
    # Guards against a vote that is taken as spare during a replacement and
    # not given back: the next lost disk then leaves one of three.
    async def test(fleet):
        await fleet.write(3, "kept")
        old = await choose_voter(fleet, leads=False)
        fresh = fleet.make_address()
        await fleet.start(fresh)
        await await_vote(fleet, fresh)
        leader = fleet.find_leader()
        still, *others = (
            address
            for address, voter in fleet.voters.items()
            if address not in (old, fresh) and voter is not leader
        )
        fleet.cut_off(still)
        await asyncio.sleep(STILL_SECONDS)
        fleet.join(still)
        await end(fleet, old, in_order=True)
        await asyncio.sleep(CATCH_UP_SECONDS + 2.0)
        await fleet.write(4, "after")
        await lose_disks(fleet, [*others, fresh][:1])
        await check_kept(fleet, b"4 after")

    play(test, tmp_path, size)


def test_successor_gets_its_vote_while_a_disk_stalls(tmp_path):
    # Guards against a voter with a stalled disk that asks for its vote again
    # and again, and keeps the leader from any other change.
    async def test(fleet):
        await fleet.write(3, "before")
        stalled = await choose_voter(fleet, leads=False)
        with fleet.stall_disk(stalled):
            await fleet.write(4, "meanwhile")
            await asyncio.sleep(STILL_SECONDS)
            fresh = fleet.make_address()
            await fleet.start(fresh)
            await await_vote(fleet, fresh)
        await await_vote(fleet, stalled)

    play(test, tmp_path, 4)
