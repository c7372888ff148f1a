"""Tests of evacuation orders for zones at voters and entries."""

import asyncio
import random

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import ZoneRequest
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time


async def submit_order(voter, zone: str, evacuated: bool) -> None:
    """Submit an order until it is acknowledged."""
    while not await voter.orders.submit(zone, evacuated):
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("entries", (1, 7, 75))
def test_order_is_pushed_without_waiting_for_beats(tmp_path, entries):
    # Guards against entries that learn of an order with their next beat only
    # and meanwhile send requests to an evacuated zone.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        for follower in followers:
            follower.stop_beats()
        await submit_order(fleet.voters[fleet.seeds[1]], "z0", True)
        for follower in followers:
            await wait_until(lambda f=follower: f.zones.is_evacuated("z0"))
        assert not followers[0].zones.is_evacuated("z1")
        await submit_order(fleet.voters[fleet.seeds[2]], "z0", False)
        for follower in followers:
            await wait_until(lambda f=follower: not f.zones.is_evacuated("z0"))

    play(test, tmp_path)


@pytest.mark.parametrize("entries", (1, 7, 75))
def test_missed_order_comes_with_the_answer_to_a_beat(tmp_path, entries):
    # A third of the entries lose the pushed order, and one starts after it.
    # The answer to their next beat must contain it.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        away = followers[::3]
        for follower in away:
            follower.drop_pushes()
        await submit_order(fleet.voters[fleet.seeds[0]], "z0", True)
        late = await fleet.follow("late")
        for follower in (*followers, late):
            await wait_until(lambda f=follower: f.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_entry_that_starts_later_gets_the_order(tmp_path):
    async def test(fleet):
        await submit_order(fleet.voters[fleet.seeds[0]], "z0", True)
        follower = await fleet.follow("late")
        await wait_until(lambda: follower.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_acknowledged_order_survives_restart_of_all_voters(tmp_path):
    async def test(fleet):
        await submit_order(fleet.voters[fleet.seeds[0]], "z0", True)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            await fleet.start(address)
        for voter in fleet.voters.values():
            await wait_until(lambda v=voter: v.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_restarted_voter_applies_order_before_leader_election(
    tmp_path,
):
    # Guards against a restarted voter that sends a zone's targets to entries
    # without the zone's evacuation.
    async def test(fleet):
        leader = None
        while leader is None:
            leader = fleet.find_leader()
            await asyncio.sleep(0.01)
        address = next(a for a, v in fleet.voters.items() if v is leader)
        await submit_order(leader, "z0", True)
        for other in fleet.seeds:
            await fleet.stop(other)
        (fleet.find_folder(address) / "known").unlink(missing_ok=True)
        alone = await fleet.start(address)
        assert alone.zones.is_evacuated("z0")
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_order_reaches_voter_with_a_new_disk(tmp_path):
    async def test(fleet):
        await submit_order(fleet.voters[fleet.seeds[0]], "z0", True)
        address = fleet.seeds[0]
        await fleet.stop(address)
        await fleet.wipe(address)
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)
        await wait_until(lambda: fresh.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_minority_acknowledges_no_order(tmp_path):
    async def test(fleet):
        await submit_order(fleet.voters[fleet.seeds[0]], "z0", True)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        alone = fleet.voters[fleet.seeds[0]]
        while await alone.orders.submit("z1", True):
            # its leader lease may not have expired yet
            pass
        assert not await alone.orders.submit("z1", True)

    play(test, tmp_path)


def test_delayed_retry_does_not_undo_later_order(tmp_path):
    # Guards against a delayed retry that evacuates a zone again after its
    # readmission.
    async def test(fleet):
        frozen, other = (fleet.voters[a] for a in fleet.seeds[:2])
        await submit_order(other, "z0", True)
        await wait_until(lambda: frozen.zones.is_evacuated("z0"))
        stale = frozen.orders.prepare("z0", True)
        await submit_order(other, "z0", False)
        leader = fleet.find_leader()
        request = ZoneRequest(stale.zone, stale.evacuated, stale.base_index)
        answer = await leader.orders.handle(request)
        assert not answer.accepted and answer.index > stale.base_index
        # a retry of the first order
        answer = await leader.orders.handle(ZoneRequest("z0", True, 0))
        assert not answer.accepted
        assert not await frozen.orders.commit(stale, lambda: False)
        assert not leader.zones.is_evacuated("z0")

    play(test, tmp_path)


def test_order_of_disconnected_sender_is_dropped(tmp_path):
    # A voter that stalled may apply the log before it reads an old order from
    # its connection, and then can't tell that the order is outdated.
    async def test(fleet):
        voter = fleet.voters[fleet.seeds[0]]
        await submit_order(voter, "z0", False)
        late = voter.orders.prepare("z0", True)
        assert not await voter.orders.commit(late, lambda: False)
        await submit_order(voter, "z1", True)
        assert not voter.zones.is_evacuated("z0")

    play(test, tmp_path)


def test_concurrent_orders_converge_on_all_voters(tmp_path):
    async def test(fleet):
        voters = list(fleet.voters.values())
        for _ in range(5):
            await asyncio.gather(
                submit_order(voters[0], "z0", True),
                submit_order(voters[1], "z0", False),
                submit_order(voters[2], "z1", True),
            )
        newest = max(voter.zones.last_index for voter in voters)
        for voter in voters:
            await wait_until(lambda v=voter: v.zones.last_index == newest)
        states = {voter.zones.is_evacuated("z0") for voter in voters}
        assert len(states) == 1
        assert all(voter.zones.is_evacuated("z1") for voter in voters)

    play(test, tmp_path)


def test_readmitted_targets_are_cold_until_next_announcement(tmp_path):
    # Announcements from before a zone's readmission do not show that its
    # targets are cold.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        voter = fleet.voters[fleet.seeds[0]]
        voter.registry.announce(make("i1", zone="z0", heard=tell_time()))
        await wait_until(lambda: follower.is_up_to_date(fleet.voters))
        await submit_order(voter, "z0", True)
        await wait_until(lambda: follower.zones.is_evacuated("z0"))
        await submit_order(voter, "z0", False)
        await wait_until(lambda: not follower.zones.is_evacuated("z0"))
        assert follower.is_cold("i1")
        heard = tell_time()
        voter.registry.announce(make("i1", zone="z0", number=2, heard=heard))
        await wait_until(lambda: not follower.is_cold("i1"))

    play(test, tmp_path)


def test_change_to_cold_is_pushed_to_entries(tmp_path):
    # Guards against treating a change of the warm-up time as unchanged state:
    # entries would send a cold target as much as a warm one.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        voter = fleet.voters[fleet.seeds[0]]
        voter.registry.announce(make("i1", zone="z0", heard=tell_time()))
        await wait_until(lambda: follower.is_up_to_date(fleet.voters))
        assert not follower.is_cold("i1")
        again = make("i1", zone="z0", number=2, heard=tell_time())
        again.warm_at = tell_time() + 60.0
        voter.registry.announce(again)
        await wait_until(lambda: follower.is_cold("i1"))

    play(test, tmp_path)


@pytest.mark.parametrize("seed", range(4))
def test_order_survives_loss_of_two_disks_of_five(tmp_path, seed):
    # All processes stop right after an acknowledgement, and two of five disks
    # are lost. At least one of the three remaining logs contains the order.
    async def test(fleet):
        rng = random.Random(seed)
        await submit_order(fleet.voters[rng.choice(fleet.seeds)], "z0", True)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in rng.sample(fleet.seeds, 2):
            await fleet.wipe(address)
        for address in fleet.seeds:
            await fleet.start(address)
        for voter in fleet.voters.values():
            await wait_until(lambda v=voter: v.zones.is_evacuated("z0"))

    play(test, tmp_path, 5)


def test_all_zones_are_evacuated_and_readmitted(tmp_path):
    async def test(fleet):
        follower = await fleet.follow("e1")
        zones = [f"z{number}" for number in range(18)]
        voters = list(fleet.voters.values())
        await asyncio.gather(
            *(
                submit_order(voters[number % 3], zone, True)
                for number, zone in enumerate(zones)
            )
        )
        await wait_until(lambda: all(map(follower.zones.is_evacuated, zones)))
        for zone in zones:
            await submit_order(voters[0], zone, False)
        await wait_until(
            lambda: not any(map(follower.zones.is_evacuated, zones))
        )

    play(test, tmp_path)


def test_entry_keeps_order_when_its_voter_loses_its_disk(tmp_path):
    # A voter with an empty disk knows no orders. Its entries must keep the
    # orders that they have received before.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        await submit_order(fleet.voters[fleet.seeds[1]], "z0", True)
        await wait_until(lambda: follower.zones.is_evacuated("z0"))
        address = fleet.seeds[0]
        await fleet.stop(address)
        await fleet.wipe(address)
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)
        assert follower.zones.is_evacuated("z0")

    play(test, tmp_path)
