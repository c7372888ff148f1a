"""Tests of entries that receive state from voters."""

import asyncio

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.following import pack_target
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import TargetNotice
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.gateway.usage import Ability
from chivepier.standins.loopclock import tell_time


def test_entry_gets_configurations_and_targets_from_any_voter(tmp_path):
    async def test(fleet):
        follower = await fleet.follow("e1")
        await fleet.write(2)
        await wait_until(lambda: follower.state.index is not None)
        now = tell_time()
        for number, voter in enumerate(fleet.voters.values()):
            voter.registry.announce(make(f"i{number}", heard=now))
        await wait_until(lambda: len(list(follower.table)) == 3)
        await fleet.write(4)
        await wait_until(lambda: follower.state.index.version == 4)

    play(test, tmp_path)


def test_target_change_reaches_entries_and_other_voters(tmp_path):
    async def test(fleet):
        follower = await fleet.follow("e1")
        first, second, third = fleet.voters.values()
        now = tell_time()
        first.registry.announce(make("i1", number=1, heard=now))
        await wait_until(lambda: follower.table.get("i1") is not None)
        second.registry.announce(
            make("i1", number=2, state=TargetState.LEAVING, heard=now)
        )
        await wait_until(lambda: follower.table.is_leaving("i1"))
        await wait_until(lambda: third.table.is_leaving("i1"))
        third.registry.deregister("i1")
        await wait_until(
            lambda: follower.table.get("i1").state is TargetState.GONE
        )

    play(test, tmp_path)


def test_voters_keep_targets_that_announce_to_another_one(tmp_path):
    # Guards against voters that expire long-lived targets which announce
    # themselves to another voter only.
    async def test(fleet):
        first, second, _ = fleet.voters.values()
        now = tell_time()
        first.registry.announce(make("i1", heard=now))
        await wait_until(lambda: second.table.get("i1") is not None)
        known = second.table.get("i1")
        known.heard = now - 5
        first.registry.announce(make("i1", heard=now + 1))
        first.registry.sync_peers()
        await wait_until(lambda: second.table.get("i1").heard > now - 5)

    play(test, tmp_path)


def test_missed_changes_come_with_the_answer_to_a_beat(tmp_path):
    # A connection that is cut for a moment loses pushed messages. The entry's
    # next beat contains its revision, and the answer the missing changes.
    async def test(fleet):
        follower = await fleet.follow("e1")
        first = fleet.voters[fleet.seeds[0]]
        now = tell_time()
        first.registry.announce(make("i1", heard=now))
        await wait_until(lambda: follower.table.get("i1") is not None)
        faults = follower.links._faults
        faults.cut.add("*")
        first.registry.announce(
            make("i1", number=2, state=TargetState.LEAVING, heard=now)
        )
        await fleet.write(6)
        assert not follower.table.is_leaving("i1")
        faults.cut.clear()
        await wait_until(lambda: follower.table.is_leaving("i1"))
        await wait_until(
            lambda: follower.state.index and follower.state.index.version == 6
        )

    play(test, tmp_path)


def test_only_ready_and_alive_entries_are_returned(tmp_path):
    async def test(fleet):
        await fleet.write(1)
        staying = await fleet.follow("e1")
        leaving = await fleet.follow("e2")
        voter = fleet.voters[fleet.seeds[0]]

        def addresses():
            return sorted(voter.entries.list_addresses())

        await wait_until(lambda: addresses() == ["e1:80", "e2:80"])
        leaving.following.leave()
        await wait_until(lambda: addresses() == ["e1:80"])
        await staying.__aexit__()
        # no entry is alive: the last known one is still returned
        await wait_until(lambda: voter.entries.count() == 2)
        assert addresses() == ["e1:80"]

    play(test, tmp_path)


def test_limits_and_usage_of_an_entry_reach_the_voters(tmp_path):
    # Guards against equal shares because beats carry nothing.
    async def test(fleet):
        follower = await fleet.follow("e1")
        follower.following._report = lambda now: Ability(
            millicores=387, busy_percent=80, rotation=7
        )

        def tells(voter) -> bool:
            beats = voter.entries.list_beats()
            told = [(b.millicores, b.busy_percent, b.rotation) for b in beats]
            return told == [(387, 80, 7)]

        await wait_until(lambda: all(map(tells, fleet.voters.values())))

    play(test, tmp_path)


def test_loads_reach_the_other_entries(tmp_path):
    async def test(fleet):
        one, two = await fleet.follow("e1"), await fleet.follow("e2")
        voters = fleet.voters.values()
        await wait_until(lambda: all(v.entries.count() == 2 for v in voters))
        one.board.adjust_own("i1", runs=1, tokens=500, reading=400)
        await wait_until(lambda: two.board.get_total("i1", 0.0).tokens == 500)
        own = two.board.get_total("i1", 0.0)
        assert (own.runs, own.reading) == (1, 400)
        one.board.adjust_own("i1", runs=-1, tokens=-500, reading=-400)
        await wait_until(lambda: two.board.get_total("i1", 0.0).runs == 0)
        assert LoadRecord("e1", "i1", 0, 0, 0, 0) not in one.board.list_own()

    play(test, tmp_path)


def test_each_entry_follows_the_voter_of_its_zone(tmp_path):
    # Guards against every voter sending all changes to all entries across
    # zones.
    async def test(fleet):
        zones = ("z0", "z0", "z1", "z2")
        followers = [
            await fleet.follow(f"e{number}", zone)
            for number, zone in enumerate(zones)
        ]
        hubs = [fleet.seeds[int(zone[1])] for zone in zones]
        await wait_until(lambda: [f.hub for f in followers] == hubs)
        followers[0].board.adjust_own("i1", runs=1, tokens=500, reading=400)
        followers[1].board.adjust_own("i1", runs=1, tokens=300)
        for follower in followers:
            await wait_until(lambda: follower.tokens("i1") == 800)
        told = set(followers[3].board._loads["i1"])
        assert told == {fleet.seeds[0]}
        followers[0].board.adjust_own("i1", runs=-1, tokens=-500, reading=-400)
        for follower in followers:
            await wait_until(lambda: follower.tokens("i1") == 300)

    play(test, tmp_path)


def test_copy_turns_reach_other_zones_per_entry(tmp_path):
    # Entries copy off a leaving target one by one, in the order of their
    # names. A sum over a zone would hide whose turn it is.
    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        two = await fleet.follow("e2", "z1")
        one.board.adjust_own("i1", runs=1, tokens=500)
        one.board.set_copy_time("i1", 250)
        await wait_until(lambda: two.board.get_copy_wait_ms("i1", 0.0) == 250)
        assert two.tokens("i1") == 500
        one.board.set_copy_time("i1", 0)
        await wait_until(lambda: two.board.get_copy_wait_ms("i1", 0.0) == 0)
        assert two.tokens("i1") == 500

    play(test, tmp_path)


def test_queues_are_summed_over_the_entries_of_a_zone(tmp_path):
    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        two = await fleet.follow("e2", "z0")
        far = await fleet.follow("e3", "z2")
        one.queues.enter("llm", 1)
        two.queues.enter("llm", 1)
        await wait_until(lambda: far.queues.count_ahead("llm", 2, 0.0) == 2)
        one.queues.leave("llm", 1)
        await wait_until(lambda: far.queues.count_ahead("llm", 2, 0.0) == 1)

    play(test, tmp_path)


def test_room_of_classes_and_teams_is_known_in_other_zones(tmp_path):
    """Room was kept, and shares counted, for the callers of one zone only."""

    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        two = await fleet.follow("e2", "z0")
        far = await fleet.follow("e3", "z2")

        def find_held() -> list[int]:
            usages = far.queues.list_usage("llm", tell_time())
            return [usage.held for usage in usages]

        for entry in (one, two):
            entry.queues.adjust_held("llm", 1, 1, 500, "t1")
        await wait_until(lambda: find_held() == [1_000])
        teams = far.queues.teams
        await wait_until(lambda: teams.list_taken("llm", 1).keys() == {"t1"})
        one.queues.adjust_held("llm", 1, -1, -500, "t1")
        await wait_until(lambda: find_held() == [500])

    play(test, tmp_path)


def test_entry_follows_another_voter_when_its_own_is_lost(tmp_path):
    # When the voter of a zone stops, its entries follow another one, which
    # sends them the full state. Their own load must not be counted twice.
    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        two = await fleet.follow("e2", "z1")
        await wait_until(lambda: one.hub == fleet.seeds[0])
        one.board.adjust_own("i1", runs=1, tokens=500)
        two.board.adjust_own("i1", runs=1, tokens=200)
        await wait_until(lambda: one.tokens("i1") == 700)
        await fleet.stop(fleet.seeds[0])
        await wait_until(lambda: one.hub in fleet.seeds[1:])
        await wait_until(lambda: one.tokens("i1") == 700)
        await wait_until(lambda: two.tokens("i1") == 700)

    play(test, tmp_path)


def test_targets_of_other_zones_stay_alive_at_an_entry(tmp_path):
    # A target announces itself to the voter of one zone only; entries that
    # follow other voters must keep using it.
    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        await wait_until(lambda: one.hub == fleet.seeds[0])
        last = fleet.voters[fleet.seeds[2]]
        now = tell_time()
        last.registry.announce(make("i1", number=1, heard=now - 5))
        await wait_until(lambda: one.table.get("i1") is not None)
        before = one.table.get("i1").heard
        last.registry.announce(make("i1", number=2, heard=now))
        await wait_until(lambda: one.table.get("i1").heard > before)

    play(test, tmp_path)


def test_borrowed_retries_are_known_in_other_zones(tmp_path):
    async def test(fleet):
        one = await fleet.follow("e1", "z0")
        two = await fleet.follow("e2", "z1")
        await wait_until(lambda: one.hub == fleet.seeds[0])
        await wait_until(lambda: two.hub == fleet.seeds[1])
        await wait_until(lambda: one.borrow("s"))
        await wait_until(lambda: sum(two.budget._peer_loans.values()) == 1)

    play(test, tmp_path)


def test_outdated_announcement_is_not_forwarded(tmp_path):
    # Guards against forwarding an outdated announcement, which would keep an
    # earlier incarnation of a target in use at other voters.
    async def test(fleet):
        first, second, _ = (v.registry for v in fleet.voters.values())
        now = tell_time()
        first.announce(make("i1", number=9, heard=now - 5))
        first.sync_peers()
        await wait_until(lambda: second._table.get("i1") is not None)
        revision = second.revision
        first.announce(make("i1", number=1, heard=now))
        first.sync_peers()
        first.announce(make("i2", number=1, heard=now))
        first.sync_peers()
        await wait_until(lambda: second._table.get("i2") is not None)
        heard = second.find_live_names(second.epoch, revision)
        assert list(heard) == ["i2"]

    play(test, tmp_path)


def test_announcement_of_earlier_incarnation_is_no_sign_of_life(tmp_path):
    # After a restart of a target, a delayed announcement of its earlier
    # incarnation must not keep the silent new one in use.
    async def test(fleet):
        registry = fleet.voters[fleet.seeds[0]].registry
        now = tell_time()
        registry.announce(make("i1", number=1, heard=now - 2, born=200))
        revision = registry.revision
        registry.announce(make("i1", number=9, heard=now, born=100))
        assert registry.find_live_names(registry.epoch, revision) == ()
        registry.announce(make("i1", number=2, heard=now, born=200))
        heard = registry.find_live_names(registry.epoch, revision)
        assert list(heard) == ["i1"]

    play(test, tmp_path)


def test_unreadable_target_does_not_end_beats(tmp_path, monkeypatch):
    # Guards against one unreadable target record ending the beats to every
    # voter.
    put = TargetTable.put

    def refuse_odd(table, target):
        if target.instance == "odd":
            raise ValueError("an unknown state")
        return put(table, target)

    async def test(fleet):
        now = tell_time()
        for voter in fleet.voters.values():
            voter.registry.announce(make(instance="odd", heard=now))
            voter.registry.announce(make(instance="plain", heard=now))
        monkeypatch.setattr(TargetTable, "put", refuse_odd)
        follower = await fleet.follow("e1")
        await wait_until(lambda: follower.table.get("plain") is not None)
        assert follower.table.get("odd") is None
        await wait_until(lambda: follower.hub is not None)

    play(test, tmp_path)


def test_entry_that_stood_still_takes_no_target_for_silent(tmp_path):
    # Guards against targets that count as ended, and requests that count as
    # their cause, as an entry reads one announcement before the others.
    async def test(fleet):
        follower = await fleet.follow("e1")
        voter = fleet.voters[fleet.seeds[0]]

        def announce(*names):
            for name in names:
                number = voter.registry.revision
                voter.registry.announce(
                    make(name, number=number, heard=tell_time())
                )

        def is_silent(name):
            target = follower.table.get(name)
            return follower.table.is_silent(target, tell_time())

        announce("i1", "i2")
        await wait_until(lambda: len(list(follower.table)) == 2)
        send_beat = await follower.finish_beats()
        for _ in range(10):
            await asyncio.sleep(0.5)
            announce("i1", "i2")
        record = pack_target(voter.table.get("i2"), tell_time())
        follower.following.handle(TargetNotice((record,)), None)
        assert not is_silent("i1")

        follower.following._send_beat = send_beat
        for _ in range(10):
            assert not is_silent("i1")
            await asyncio.sleep(0.5)
            announce("i1", "i2")
        while not is_silent("i1"):
            await asyncio.sleep(0.5)
            announce("i2")

    play(test, tmp_path)
