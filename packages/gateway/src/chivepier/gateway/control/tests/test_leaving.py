"""Tests of spreading a target's leaving from one entry to all nodes."""

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time


def all_know(nodes, name: str = "i1") -> bool:
    """Tell whether all entries or voters know that a target is leaving."""
    return all(node.table.is_leaving(name) for node in nodes)


@pytest.mark.parametrize("entries", (1, 7, 75))
def test_leaving_target_reaches_all_entries(entries, tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(entries)
        voters = list(fleet.voters.values())
        voters[0].registry.announce(make("i1", heard=tell_time()))
        for follower in followers:
            await wait_until(lambda f=follower: f.table.get("i1"))
        told = followers[-1]
        told.leavers.record(told.table.get("i1"), tell_time())
        await wait_until(lambda: all_know(followers))
        await wait_until(lambda: all_know(voters))
        # the target's announcements still have the state READY
        late = make("i1", number=7, heard=tell_time())
        for voter in voters:
            voter.registry.announce(late)
        new = await fleet.follow("late")
        await wait_until(lambda: new.table.get("i1"))
        assert all_know((*followers, new))

    play(test, tmp_path)


def test_leaving_target_is_pushed_without_waiting_for_beats(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(3)
        voter = next(iter(fleet.voters.values()))
        voter.registry.announce(make("i1", heard=tell_time()))
        for follower in followers:
            await wait_until(lambda f=follower: f.table.get("i1"))
        told, *others = followers
        for follower in others:
            follower.stop_beats()
        told.leavers.record(told.table.get("i1"), tell_time())
        await wait_until(lambda: all_know(others))

    play(test, tmp_path)


def test_leaving_target_is_sent_once_per_run_of_a_voter(tmp_path):
    # Guards against repeating all leaving targets in every beat to every
    # voter; a restarted voter needs them again.
    async def test(fleet):
        (told,) = await fleet.follow_many(1)
        address, voter = next(iter(fleet.voters.items()))
        voter.registry.announce(make("i1", heard=tell_time()))
        await wait_until(lambda: told.table.get("i1"))
        for known in told.following._voters.values():
            await wait_until(lambda k=known: k.epoch)
        told.leavers.record(told.table.get("i1"), tell_time())
        known = told.following._voters
        await wait_until(
            lambda: all(v.confirmed_leavers for v in known.values())
        )
        before = {a: v.epoch for a, v in known.items()}
        await fleet.stop(address)
        await fleet.start(address)
        await wait_until(lambda: known[address].epoch != before[address])
        await wait_until(lambda: known[address].confirmed_leavers)
        assert fleet.voters[address].table.is_leaving("i1")

    play(test, tmp_path)


def test_partitioned_entry_reports_leaving_target_later(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(3)
        voter = next(iter(fleet.voters.values()))
        voter.registry.announce(make("i1", heard=tell_time()))
        for follower in followers:
            await wait_until(lambda f=follower: f.table.get("i1"))
        told, beat = followers[0], followers[0].following._send_beat
        told.stop_beats()
        told.leavers.record(told.table.get("i1"), tell_time())
        await wait_until(lambda: told.table.is_leaving("i1"))
        assert not followers[1].table.is_leaving("i1")
        told.following._send_beat = beat
        await wait_until(lambda: all_know(followers))

    play(test, tmp_path)


def test_leaving_applies_to_target_that_is_announced_later(tmp_path):
    async def test(fleet):
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.hub is not None)
        target = make("i1", heard=tell_time())
        follower.table.put(make("i1", heard=tell_time()))
        follower.leavers.record(target, tell_time())
        voters = list(fleet.voters.values())
        for voter in voters:
            await wait_until(lambda v=voter: ("i1", 0) in v.table._leaving)
        voters[0].registry.announce(target)
        await wait_until(lambda: voters[1].table.is_leaving("i1"))

    play(test, tmp_path)
