"""Tests of entries that learn from each other what ends targets."""

import asyncio

import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.quarantine import Ledger


async def end_three(followers) -> None:
    """Let three targets end, each under what another entry sent."""
    for number in range(3):
        followers[-1 - number % len(followers)].end_under("d", f"i{number}")
    await wait_until(lambda: any(f.holds("d") for f in followers))


@pytest.mark.parametrize("count", [1, 7, 191])
def test_every_entry_holds_back_what_others_saw(count, tmp_path):
    # Callers spread their repeats over all entries. Each entry saw one end at
    # the most, and would have let two more follow.
    async def test(fleet):
        followers = await fleet.follow_many(count)
        await end_three(followers)
        await wait_until(lambda: all(f.holds("d") for f in followers))
        assert not any(f.holds("other") for f in followers)

    play(test, tmp_path)


def test_entry_that_starts_later_is_told(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(2)
        await end_three(followers)
        for follower in followers:
            await follower.__aexit__()
        late = await fleet.follow("late")
        await wait_until(lambda: late.holds("d"))

    play(test, tmp_path)


def test_answer_at_one_entry_clears_it_at_all(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(3)
        await end_three(followers)
        await wait_until(lambda: all(f.holds("d") for f in followers))
        followers[0].quarantine.note_answered("d")
        await wait_until(lambda: not any(f.holds("d") for f in followers))
        late = await fleet.follow("late")
        await wait_until(lambda: late.hub is not None)
        followers[1].end_under("d", "i9")
        await wait_until(lambda: late.quarantine.ledger.revision)
        assert not late.quarantine.ledger.knows("d")

    play(test, tmp_path)


def test_entry_that_was_cut_off_is_told_when_it_is_back(tmp_path):
    # It heard no voter for as long as the targets ended, and what voters
    # pushed meanwhile was lost.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        lost = followers[0]
        cut = lost.links._faults.cut
        cut.add("*")
        await end_three(followers[1:])
        await wait_until(lambda: all(f.holds("d") for f in followers[1:]))
        assert not lost.holds("d")
        cut.clear()
        await wait_until(lambda: lost.holds("d"))

    play(test, tmp_path)


def test_what_is_seen_without_a_voter_is_told_when_one_is_back(tmp_path):
    async def test(fleet):
        followers = await fleet.follow_many(2)
        cut = followers[0].links._faults.cut
        cut.add("*")
        for number in range(3):
            followers[0].end_under("d", f"i{number}")
        await wait_until(lambda: followers[0].holds("d"))
        assert not followers[1].holds("d")
        cut.clear()
        await wait_until(lambda: followers[1].holds("d"))

    play(test, tmp_path)


def test_all_voters_are_replaced_one_after_the_other(tmp_path):
    # Each voter lost its disk in turn, and the entries that had seen the
    # targets end were gone. One that starts afterwards must still know.
    async def test(fleet):
        followers = await fleet.follow_many(3)
        await end_three(followers[:2])
        await wait_until(lambda: all(f.holds("d") for f in followers))
        for follower in followers[:2]:
            await follower.__aexit__()
        for address in fleet.seeds:
            await fleet.stop(address)
            await fleet.wipe(address)
            voter = await fleet.start(address)
            ledger = voter.quarantine.ledger
            await wait_until(lambda held=ledger: held.suspects)
        late = await fleet.follow("late")
        await wait_until(lambda: late.holds("d"))

    play(test, tmp_path)


def test_voter_that_starts_anew_between_two_beats_is_told_everything(tmp_path):
    # One answer passed for a confirmation of what an earlier life was told.
    async def test(fleet):
        followers = await fleet.follow_many(1)
        await end_three(followers)
        following = followers[0].following
        address = following.hub
        hub = fleet.voters[address].quarantine
        await wait_until(lambda: hub.ledger.suspects)
        # an answer that is under way would confirm what the ledger held
        beat = await followers[0].finish_beats()
        hub.ledger = Ledger()
        state = following._voters[address]
        state.epoch, state.confirmed = "before", 3
        await asyncio.gather(beat(address, state), beat(address, state))
        following._beat = beat
        await wait_until(lambda: hub.ledger.suspects)

    play(test, tmp_path)


def test_all_processes_are_killed_at_once(tmp_path):
    # Power went, and nobody was left who had seen the targets end. Three more
    # ended before the request was held back again.
    async def test(fleet):
        followers = await fleet.follow_many(2)
        await end_three(followers)
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
        await wait_until(lambda: late.holds("d"))

    play(test, tmp_path)


def read(path) -> bytes:
    """Return a file's bytes, none where there is none yet."""
    return path.read_bytes() if path.exists() else b""
