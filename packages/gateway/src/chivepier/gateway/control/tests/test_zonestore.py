"""Tests of orders about availability zones on voters and their followers."""

import asyncio
import random

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import ZoneRequest
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time


async def order(voter, zone: str, evacuated: bool) -> None:
    """Give an order until it is acknowledged."""
    while not await voter.orders.submit(zone, evacuated):
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("entries", (1, 7, 75))
def test_order_is_in_force_at_followers_without_their_next_beat(
    tmp_path, entries
):
    # Callers were sent to a zone that was being emptied: entries learned of
    # the order with their next beat only. It is pushed to all of them.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        for follower in followers:
            follower.stop_beats()
        await order(fleet.voters[fleet.seeds[1]], "z0", True)
        for follower in followers:
            await wait_until(lambda f=follower: f.zones.is_evacuated("z0"))
        assert not followers[0].zones.is_evacuated("z1")
        await order(fleet.voters[fleet.seeds[2]], "z0", False)
        for follower in followers:
            await wait_until(lambda f=follower: not f.zones.is_evacuated("z0"))

    play(test, tmp_path)


@pytest.mark.parametrize("entries", (1, 7, 75))
def test_entries_that_missed_the_push_learn_with_their_beats(
    tmp_path, entries
):
    # A third of the entries stand still or are cut off as the order is
    # pushed, and one starts after it: each is told with its next beat.
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        away = followers[::3]
        for follower in away:
            follower.lose_pushes()
        await order(fleet.voters[fleet.seeds[0]], "z0", True)
        late = await fleet.follow("late")
        for follower in (*followers, late):
            await wait_until(lambda f=follower: f.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_entry_that_starts_later_learns_it_with_its_first_beat(tmp_path):
    async def test(fleet):
        await order(fleet.voters[fleet.seeds[0]], "z0", True)
        follower = await fleet.follow("late")
        await wait_until(lambda: follower.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_acknowledged_order_outlives_a_restart_of_all(tmp_path):
    async def test(fleet):
        await order(fleet.voters[fleet.seeds[0]], "z0", True)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            await fleet.start(address)
        for voter in fleet.voters.values():
            await wait_until(lambda v=voter: v.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_restarted_voter_keeps_to_an_order_before_a_leader_is_elected(
    tmp_path,
):
    # A restarted voter told of a zone's targets, and not of its evacuation.
    async def test(fleet):
        leader = None
        while leader is None:
            leader = fleet.find_leader()
            await asyncio.sleep(0.01)
        address = next(a for a, v in fleet.voters.items() if v is leader)
        await order(leader, "z0", True)
        for other in fleet.seeds:
            await fleet.stop(other)
        (fleet.find_folder(address) / "known").unlink(missing_ok=True)
        alone = await fleet.start(address)
        assert alone.zones.is_evacuated("z0")
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_order_survives_the_loss_of_a_disk_and_a_new_voter(tmp_path):
    async def test(fleet):
        await order(fleet.voters[fleet.seeds[0]], "z0", True)
        address = fleet.seeds[0]
        await fleet.stop(address)
        await fleet.wipe(address)
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)
        await wait_until(lambda: fresh.zones.is_evacuated("z0"))

    play(test, tmp_path)


def test_minority_acknowledges_no_order(tmp_path):
    async def test(fleet):
        await order(fleet.voters[fleet.seeds[0]], "z0", True)
        for address in fleet.seeds[1:]:
            await fleet.stop(address)
        alone = fleet.voters[fleet.seeds[0]]
        while await alone.orders.submit("z1", True):
            # its lease as the leader may last for a moment more
            pass
        assert not await alone.orders.submit("z1", True)

    play(test, tmp_path)


def test_late_repeat_does_not_undo_what_was_ordered_since(tmp_path):
    # A repeat that was held up emptied a zone again after it was taken back.
    async def test(fleet):
        frozen, other = (fleet.voters[a] for a in fleet.seeds[:2])
        await order(other, "z0", True)
        await wait_until(lambda: frozen.zones.is_evacuated("z0"))
        stale = frozen.orders.prepare("z0", True)
        await order(other, "z0", False)
        leader = fleet.find_leader()
        request = ZoneRequest(stale.zone, stale.evacuated, stale.base_index)
        answer = await leader.orders.handle(request)
        assert not answer.accepted and answer.index > stale.base_index
        # the first order once more, as it was sent then
        answer = await leader.orders.handle(ZoneRequest("z0", True, 0))
        assert not answer.accepted
        assert not await frozen.orders.commit(stale, lambda: False)
        assert not leader.zones.is_evacuated("z0")

    play(test, tmp_path)


def test_order_whose_sender_has_gone_is_not_carried_out(tmp_path):
    # The voter that stood still has read the log before the order: it knows
    # all that was ordered since, but not that this one is older.
    async def test(fleet):
        voter = fleet.voters[fleet.seeds[0]]
        await order(voter, "z0", False)
        late = voter.orders.prepare("z0", True)
        assert not await voter.orders.commit(late, lambda: False)
        await order(voter, "z1", True)
        assert not voter.zones.is_evacuated("z0")

    play(test, tmp_path)


def test_two_operators_at_once_leave_one_state_everywhere(tmp_path):
    async def test(fleet):
        voters = list(fleet.voters.values())
        for _ in range(5):
            await asyncio.gather(
                order(voters[0], "z0", True),
                order(voters[1], "z0", False),
                order(voters[2], "z1", True),
            )
        newest = max(voter.zones.newest for voter in voters)
        for voter in voters:
            await wait_until(lambda v=voter: v.zones.newest == newest)
        states = {voter.zones.is_evacuated("z0") for voter in voters}
        assert len(states) == 1
        assert all(voter.zones.is_evacuated("z1") for voter in voters)

    play(test, tmp_path)


def test_readmitted_targets_count_as_cold_until_they_speak(tmp_path):
    # What targets said before their zone was taken back does not show that
    # they are cold.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        voter = fleet.voters[fleet.seeds[0]]
        voter.registry.announce(make("i1", zone="z0", heard=tell_time()))
        await wait_until(lambda: follower.knows_all_of(fleet.voters))
        await order(voter, "z0", True)
        await wait_until(lambda: follower.zones.is_evacuated("z0"))
        await order(voter, "z0", False)
        await wait_until(lambda: not follower.zones.is_evacuated("z0"))
        assert follower.is_cold("i1")
        heard = tell_time()
        voter.registry.announce(make("i1", zone="z0", number=2, heard=heard))
        await wait_until(lambda: not follower.is_cold("i1"))

    play(test, tmp_path)


def test_entries_hear_at_once_that_a_target_has_become_cold(tmp_path):
    # Its state was the same as before, so entries were told only that it
    # lives, and sent it as much as a warm one.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        voter = fleet.voters[fleet.seeds[0]]
        voter.registry.announce(make("i1", zone="z0", heard=tell_time()))
        await wait_until(lambda: follower.knows_all_of(fleet.voters))
        assert not follower.is_cold("i1")
        again = make("i1", zone="z0", number=2, heard=tell_time())
        again.warm_at = tell_time() + 60.0
        voter.registry.announce(again)
        await wait_until(lambda: follower.is_cold("i1"))

    play(test, tmp_path)


@pytest.mark.parametrize("seed", range(4))
def test_order_outlives_the_loss_of_two_disks_right_after_it(tmp_path, seed):
    # All processes end right after an acknowledgement, and two of five disks
    # with them. Three logs are left; one of them at least holds the order.
    async def test(fleet):
        rng = random.Random(seed)
        await order(fleet.voters[rng.choice(fleet.seeds)], "z0", True)
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in rng.sample(fleet.seeds, 2):
            await fleet.wipe(address)
        for address in fleet.seeds:
            await fleet.start(address)
        for voter in fleet.voters.values():
            await wait_until(lambda v=voter: v.zones.is_evacuated("z0"))

    play(test, tmp_path, 5)


def test_all_zones_at_once_and_back(tmp_path):
    async def test(fleet):
        follower = await fleet.follow("e1")
        zones = [f"z{number}" for number in range(18)]
        voters = list(fleet.voters.values())
        await asyncio.gather(
            *(
                order(voters[number % 3], zone, True)
                for number, zone in enumerate(zones)
            )
        )
        await wait_until(lambda: all(map(follower.zones.is_evacuated, zones)))
        for zone in zones:
            await order(voters[0], zone, False)
        await wait_until(
            lambda: not any(map(follower.zones.is_evacuated, zones))
        )

    play(test, tmp_path)


def test_entry_whose_voter_lost_its_disk_keeps_to_the_order(tmp_path):
    # A voter with an empty disk knows of no order; its entries had heard of
    # one before, and its silence does not take that back.
    async def test(fleet):
        follower = await fleet.follow("e1", "z0")
        await order(fleet.voters[fleet.seeds[1]], "z0", True)
        await wait_until(lambda: follower.zones.is_evacuated("z0"))
        address = fleet.seeds[0]
        await fleet.stop(address)
        await fleet.wipe(address)
        fresh = await fleet.start(address)
        await wait_until(fresh.replica.votes)
        assert follower.zones.is_evacuated("z0")

    play(test, tmp_path)
