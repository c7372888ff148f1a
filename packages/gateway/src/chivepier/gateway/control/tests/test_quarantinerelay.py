"""Tests of sharing quarantine records between entries."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.quarantine import CrashLedger


async def crash_three_targets(followers) -> None:
    """Simulate the end of three targets, each seen by another entry."""
    for number in range(3):
        followers[-1 - number % len(followers)].simulate_crash(
            "d", f"i{number}"
        )
    await wait_until(lambda: any(f.is_quarantined("d") for f in followers))


@pytest.mark.parametrize("count", [1, 7, 191])
def test_every_entry_quarantines_what_others_saw(count, tmp_path):
    # Callers spread their retries over all entries, so that each entry sees at
    # most one crash. Without sharing, each would allow two more.
    async def test(fleet):
        followers = await fleet.follow_many(count)
        await crash_three_targets(followers)
        await wait_until(lambda: all(f.is_quarantined("d") for f in followers))
        assert not any(f.is_quarantined("other") for f in followers)

    play(test, tmp_path)


def test_entry_that_starts_later_gets_records(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(2)
        await crash_three_targets(followers)
        for follower in followers:
            await follower.__aexit__()
        late = await fleet.follow("late")
        await wait_until(lambda: late.is_quarantined("d"))

    play(test, tmp_path)


def test_clearance_at_one_entry_applies_to_all(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(3)
        await crash_three_targets(followers)
        await wait_until(lambda: all(f.is_quarantined("d") for f in followers))
        followers[0].quarantine.note_answered("d")
        await wait_until(
            lambda: not any(f.is_quarantined("d") for f in followers)
        )
        late = await fleet.follow("late")
        await wait_until(lambda: late.hub is not None)
        followers[1].simulate_crash("d", "i9")
        await wait_until(lambda: late.quarantine.ledger.revision)
        assert not late.quarantine.ledger.has_endings("d")

    play(test, tmp_path)


def test_partitioned_entry_gets_records_after_reconnecting(tmp_path):
    # The entry is partitioned while the targets end and loses pushed messages.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        lost = followers[0]
        cut = lost.links._faults.cut
        cut.add("*")
        await crash_three_targets(followers[1:])
        await wait_until(
            lambda: all(f.is_quarantined("d") for f in followers[1:])
        )
        assert not lost.is_quarantined("d")
        cut.clear()
        await wait_until(lambda: lost.is_quarantined("d"))

    play(test, tmp_path)


def test_records_made_without_voters_are_sent_after_reconnecting(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(2)
        cut = followers[0].links._faults.cut
        cut.add("*")
        for number in range(3):
            followers[0].simulate_crash("d", f"i{number}")
        await wait_until(lambda: followers[0].is_quarantined("d"))
        assert not followers[1].is_quarantined("d")
        cut.clear()
        await wait_until(lambda: followers[1].is_quarantined("d"))

    play(test, tmp_path)


def test_records_survive_replacement_of_all_voters(tmp_path):
    # Each voter loses its disk in turn, and the entries that saw the crashes
    # are gone. An entry that starts later must still receive the records.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        await crash_three_targets(followers[:2])
        await wait_until(lambda: all(f.is_quarantined("d") for f in followers))
        for follower in followers[:2]:
            await follower.__aexit__()
        for address in fleet.seeds:
            await fleet.stop(address)
            await fleet.wipe(address)
            voter = await fleet.start(address)
            ledger = voter.quarantine.ledger
            await wait_until(lambda held=ledger: held.suspects)
        late = await fleet.follow("late")
        await wait_until(lambda: late.is_quarantined("d"))

    play(test, tmp_path)


def test_voter_restarted_between_two_beats_gets_all_records(tmp_path):
    # Guards against taking an answer for an acknowledgement of records that
    # were sent to an earlier run of the voter.
    async def test(fleet):
        followers = await fleet.follow_many(1)
        await crash_three_targets(followers)
        following = followers[0].following
        address = following.followed_voter
        hub = fleet.voters[address].quarantine
        await wait_until(lambda: hub.ledger.suspects)
        # a pending answer would acknowledge the old ledger's records
        beat = await followers[0].finish_beats()
        hub.ledger = CrashLedger()
        state = following._voters[address]
        state.epoch, state.quarantine_confirmed = "before", 3
        await asyncio.gather(beat(address, state), beat(address, state))
        following._send_beat = beat
        await wait_until(lambda: hub.ledger.suspects)

    play(test, tmp_path)


def test_records_survive_restart_of_all_processes(tmp_path):
    # Guards against losing all records in a power failure: the request would
    # crash three more targets before it is quarantined again.
    async def test(fleet):
        followers = await fleet.follow_many(2)
        await crash_three_targets(followers)
        for address in fleet.seeds:
            known = fleet.find_folder(address) / "known"
            await wait_until(lambda path=known: b"i2" in read(path))
        for follower in followers:
            await follower.__aexit__()
        for address in fleet.seeds:
            await fleet.stop(address)
        for address in fleet.seeds:
            await fleet.start(address)
        late = await fleet.follow("late")
        await wait_until(lambda: late.is_quarantined("d"))

    play(test, tmp_path)


def read(path) -> bytes:
    """Return the content of a file, empty if it does not exist."""
    return path.read_bytes() if path.exists() else b""
