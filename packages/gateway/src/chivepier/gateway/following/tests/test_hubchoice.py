"""Tests of which voter an entry follows."""

from chivepier.gateway.following.hubchoice import HubChoice
from chivepier.gateway.following.voterstanding import VoterStanding
from chivepier.types import ManualClock


def make(**voters) -> dict[str, VoterStanding]:
    """Make standings of zone, voters heard and the first of them."""
    return {name: VoterStanding(*fields) for name, fields in voters.items()}


def test_voter_of_the_own_zone_is_preferred():
    hub = HubChoice("z2", ManualClock())
    assert hub.choose(make(a=("z1", 2, "a"), b=("z2", 2, "a")))
    assert hub.address == "b"


def test_voter_that_is_cut_off_is_left():
    # Voters were cut from each other, two from one. Entries of the lone one's
    # zone knew nothing of what the others ran: they go to the larger half.
    clock = ManualClock()
    hub = HubChoice("z1", clock)
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a"), c=("z3", 3, "a")))
    cut = make(a=("z1", 1, "a"), b=("z2", 2, "b"), c=("z3", 2, "b"))
    assert not hub.choose(cut)
    clock.advance(0.8)
    assert hub.choose(cut)
    assert hub.address == "b"


def test_entries_meet_at_one_half_of_two_that_are_alike():
    clock = ManualClock()
    halves = make(
        a=("z1", 2, "a"), b=("z2", 2, "a"), c=("z3", 2, "c"), d=("z4", 2, "c")
    )
    for zone, voter in (("z1", "a"), ("z2", "b"), ("z3", "a"), ("z4", "a")):
        hub = HubChoice(zone, clock)
        hub.choose(halves)
        assert hub.address == voter


def test_voter_that_looks_cut_off_for_a_moment_is_kept():
    # A voter was killed; the others noticed it up to a beat apart, and each
    # entry changed its voter twice in half a second.
    clock = ManualClock()
    hub = HubChoice("z1", clock)
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a")))
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 3, "a")))
    clock.advance(0.3)
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 2, "a")))
    clock.advance(0.6)
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 3, "a")))
    assert hub.address == "a"


def test_voter_that_does_not_answer_is_left_at_once():
    hub = HubChoice("z1", ManualClock())
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a")))
    assert hub.choose(make(b=("z2", 3, "a")))
    assert not hub.choose({})
    assert hub.address == "b"
