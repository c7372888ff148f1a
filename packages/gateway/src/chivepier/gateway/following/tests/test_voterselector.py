"""Tests of selecting the voter that an entry follows."""

from chivepier.gateway.following.voterselector import VoterSelector
from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.types import ManualClock


def make(**voters) -> dict[str, VoterStatus]:
    """Make statuses of zone, reachable voters and the first of them."""
    return {name: VoterStatus(*fields) for name, fields in voters.items()}


def test_voter_in_the_own_zone_is_preferred():
    hub = VoterSelector("z2", ManualClock())
    assert hub.choose(make(a=("z1", 2, "a"), b=("z2", 2, "a")))
    assert hub.address == "b"


def test_partitioned_voter_is_abandoned():
    # Two voters lose their links to the third. Entries in its zone would not
    # know the loads of the others, so they must follow the larger half.
    clock = ManualClock()
    hub = VoterSelector("z1", clock)
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a"), c=("z3", 3, "a")))
    partitioned = make(a=("z1", 1, "a"), b=("z2", 2, "b"), c=("z3", 2, "b"))
    assert not hub.choose(partitioned)
    clock.advance(0.8)
    assert hub.choose(partitioned)
    assert hub.address == "b"


def test_entries_choose_the_same_half_of_an_even_partition():
    clock = ManualClock()
    halves = make(
        a=("z1", 2, "a"), b=("z2", 2, "a"), c=("z3", 2, "c"), d=("z4", 2, "c")
    )
    for zone, voter in (("z1", "a"), ("z2", "b"), ("z3", "a"), ("z4", "a")):
        hub = VoterSelector(zone, clock)
        hub.choose(halves)
        assert hub.address == voter


def test_short_loss_of_reachability_does_not_switch_voters():
    # The other voters detect a killed one up to a beat apart. Without a delay
    # each entry switched its voter twice in half a second.
    clock = ManualClock()
    hub = VoterSelector("z1", clock)
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a")))
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 3, "a")))
    clock.advance(0.3)
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 2, "a")))
    clock.advance(0.6)
    assert not hub.choose(make(a=("z1", 2, "a"), b=("z2", 3, "a")))
    assert hub.address == "a"


def test_unresponsive_voter_is_abandoned_at_once():
    hub = VoterSelector("z1", ManualClock())
    hub.choose(make(a=("z1", 3, "a"), b=("z2", 3, "a")))
    assert hub.choose(make(b=("z2", 3, "a")))
    assert not hub.choose({})
    assert hub.address == "b"
