"""Tests of the callers' shares of entries that differ in ability."""

import collections
import random
from unittest import mock

import attrs
import cbor2
import pytest

from chivepier.gateway.control import EntryDirectory
from chivepier.gateway.control import entrydirectory
from chivepier.gateway.control.entryweights import compute_weights
from chivepier.gateway.control.entryweights import MAX_WEIGHT
from chivepier.gateway.control.tests.test_entrydirectory import FakeChannel
from chivepier.gateway.control.weightwatch import WeightWatch
from chivepier.gateway.messages import EntryBeat
from chivepier.messages import decode
from chivepier.messages.registry import TAGS
from chivepier.types import ManualClock

ZONES = ("z1", "z2", "z3")
MAX_ADDRESSES = 64
LARGE = {"millicores": 1000, "memory_mb": 260, "link_kbps": 25_000}
SMALL = {"millicores": 387, "memory_mb": 136, "link_kbps": 7_500}


def make_fleet(large=16, small=50, moment=0, **changes) -> list[EntryBeat]:
    """Make beats of entries that are spread over the zones."""
    beats = []
    for number, limits in enumerate([LARGE] * large + [SMALL] * small):
        zone, name = ZONES[number % len(ZONES)], f"e{number}"
        fields = {**limits, "rotation": number + moment, **changes}
        beats.append(
            EntryBeat(name, f"{zone}-{name}", zone, True, 1, "", 0, **fields)
        )
    return beats


def list_names(beats, zone, started=0.0) -> list[str]:
    """Return the answer of a voter that has just heard all the entries."""
    clock = ManualClock()
    clock.advance(started)
    directory = EntryDirectory(clock)
    clock.advance(1.0)
    for beat in beats:
        directory.record_beat(beat, FakeChannel())
    return directory.list_addresses(zone, MAX_ADDRESSES)


@pytest.mark.parametrize("demand", ((1, 1, 1), (6, 3, 1)))
def test_callers_of_each_zone_are_shared_by_ability(demand):
    # Guards against small entries that get as many callers as large ones.
    beats = make_fleet()
    shares = collections.Counter()
    for moment in range(MAX_WEIGHT):
        for zone, callers in zip(ZONES, demand):
            named = list_names(make_fleet(moment=moment), zone)
            shares.update(dict.fromkeys(named, callers / len(named)))
    large = [shares[beat.address] for beat in beats[:16]]
    small = [shares[beat.address] for beat in beats[16:]]
    assert min(large) > 2.7 * max(small) and max(large) < 3.3 * min(small)


def test_each_entry_is_named_to_callers_at_any_moment():
    # Guards against entries that are ready and yet get nobody.
    beats = make_fleet()
    for moment in range(MAX_WEIGHT):
        fleet = make_fleet(moment=moment)
        answers = [list_names(fleet, zone) for zone in ZONES]
        assert {*sum(answers, [])} == {beat.address for beat in beats}


def test_even_or_unknown_fleets_get_the_answers_of_before():
    # Guards against changed answers where no limits differ, or are untold.
    rng = random.Random(1)
    for _ in range(40):
        beats = make_fleet(0, rng.randint(1, 150), moment=rng.randint(0, 9))
        beats[0] = attrs.evolve(beats[0], busy_percent=rng.choice((0, 100)))
        if rng.random() < 0.5:
            known = rng.choice((0, -1))
            mixed = make_fleet(rng.randint(0, 9), 30)
            silent = {name: known for name in SMALL}
            beats = [*mixed[1:], attrs.evolve(mixed[0], **silent)]
        for zone in (*ZONES, "elsewhere"):
            before = [beat.address for beat in beats]
            if len(beats) > MAX_ADDRESSES:
                before = entrydirectory._select(
                    beats, zone, MAX_ADDRESSES, 1.0
                )
            assert list_names(beats, zone) == before


def test_voters_with_other_clocks_name_the_same_entries():
    # Guards against connections closed because another voter answered.
    beats = make_fleet()
    other = random.Random(1).sample(beats, len(beats))
    for zone in ZONES:
        names = list_names(other, zone, 12345.6)
        assert sorted(list_names(beats, zone)) == sorted(names)


@pytest.mark.parametrize(
    "changes", ({"rotation": 99}, {"busy_percent": 80}, {"ready": False})
)
def test_change_of_one_entry_moves_no_caller_of_the_others(changes):
    # Guards against many closed connections when one number changes.
    beats = make_fleet()
    for number in (3, 30):
        changed = list(beats)
        changed[number] = attrs.evolve(beats[number], **changes)
        for zone in ZONES:
            moved = {*list_names(beats, zone)} ^ {*list_names(changed, zone)}
            assert moved <= {beats[number].address}


def test_callers_keep_the_other_zones_entries_when_a_zone_is_lost():
    # Guards against callers that lose all of their entries with one zone.
    beats = make_fleet()
    left = [beat for beat in beats if beat.zone != "z1"]
    for zone in ZONES[1:]:
        before = [a for a in list_names(beats, zone) if a[:2] != "z1"]
        assert len(before) > len(list_names(beats, zone)) / 2
    assert len(list_names(left, "z1")) > 20
    assert min(compute_weights(left)) == 2


def test_busy_entry_gets_fewer_callers_unless_all_are_busy():
    # Guards against more callers for an entry that has no processor left.
    beats = make_fleet()
    beats[0] = attrs.evolve(beats[0], busy_percent=80)
    assert compute_weights(beats)[:2] == [2, 3]
    directory, log = EntryDirectory(ManualClock()), mock.Mock()
    for beat in beats:
        directory.record_beat(beat, FakeChannel())
    watch = WeightWatch(directory, log)
    watch.check()
    watch.check()
    assert log.info.call_count == 51
    busy = [attrs.evolve(beat, busy_percent=100) for beat in beats]
    assert compute_weights(busy)[0] == 3


def test_beat_of_an_older_release_tells_no_limits():
    # Guards against losing the entries of an older release in an update.
    values = ["e1", "e1:80", "z1", True, 1, "", 0]
    beat = decode(cbor2.dumps((TAGS[EntryBeat], values)))
    assert (beat.node, beat.millicores, beat.rotation) == ("e1", 0, 0)
    assert set(compute_weights([*make_fleet(), beat])) == {MAX_WEIGHT}
