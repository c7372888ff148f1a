"""Tests of the selection of entry addresses for callers."""

import collections
import random

from chivepier.gateway.control import EntryDirectory
from chivepier.gateway.messages import EntryBeat
from chivepier.types import ManualClock

ZONES = ("z1", "z2", "z3", "z4", "z5")
MAX_ADDRESSES = 64


class FakeChannel:
    """An open channel."""

    closed = False


def make_directory(clock, count=200, zones=ZONES) -> EntryDirectory:
    """Make a directory that knows entries in several zones."""
    directory = EntryDirectory(clock)
    clock.advance(1.0)
    send_beats(directory, range(count), zones)
    return directory


def send_beats(directory, numbers, zones=ZONES, ready=True) -> None:
    """Record a beat of each entry, in random order."""
    order = list(numbers)
    random.Random(len(order)).shuffle(order)
    for number in order:
        zone = zones[number % len(zones)]
        beat = EntryBeat(
            f"e{number}", f"{zone}-{number}:80", zone, ready, 1, "", 0
        )
        directory.record_beat(beat, FakeChannel())


def compute_shares(directory) -> dict[str, float]:
    """Return each entry's share of callers, with one caller per zone."""
    shares: dict[str, float] = collections.defaultdict(float)
    for zone in ZONES:
        given = directory.list_addresses(zone, MAX_ADDRESSES)
        for address in given:
            shares[address] += 1 / len(given)
    return shares


def test_all_of_200_entries_get_callers():
    # Guards against selecting in order of arrival, which leaves out the last
    # entries.
    shares = compute_shares(make_directory(ManualClock()))
    mean = len(ZONES) / 200
    assert len(shares) == 200
    assert max(shares.values()) < 1.3 * mean
    assert min(shares.values()) > 0.6 * mean


def test_most_addresses_are_in_the_zone_of_the_caller():
    directory = make_directory(ManualClock())
    for zone in ZONES:
        given = directory.list_addresses(zone, MAX_ADDRESSES)
        near = [a for a in given if a.startswith(zone)]
        assert len(given) == len(set(given)) == MAX_ADDRESSES
        assert len(near) == 40


def test_voters_return_the_same_addresses():
    # Callers close connections to addresses that are no longer returned.
    # Voters that know the entries in another order must select the same.
    clock = ManualClock()
    one, two = make_directory(clock), make_directory(clock)
    send_beats(one, range(100))
    assert one.list_addresses("z1", MAX_ADDRESSES) == two.list_addresses(
        "z1", MAX_ADDRESSES
    )


def test_callers_of_a_lost_zone_get_entries_of_all_others():
    # All entries of a zone fall silent. Callers have 24 addresses in other
    # zones until they ask again; then all returned ones are in other zones.
    clock = ManualClock()
    directory = make_directory(clock)
    clock.advance(1.3)
    send_beats(directory, [n for n in range(200) if n % 5])
    for zone in ZONES:
        given = directory.list_addresses(zone, MAX_ADDRESSES)
        assert len(given) == MAX_ADDRESSES
        assert not [a for a in given if a.startswith("z1")]
    assert len(compute_shares(directory)) == 160


def test_draining_entries_are_not_returned():
    directory = make_directory(ManualClock())
    send_beats(directory, range(0, 200, 2), ready=False)
    given = {
        a for z in ZONES for a in directory.list_addresses(z, MAX_ADDRESSES)
    }
    numbers = {int(a.split("-")[1].split(":")[0]) for a in given}
    assert numbers == set(range(1, 200, 2))


def test_large_zone_rotates_through_all_entries():
    clock = ManualClock()
    directory = make_directory(clock, 150, ("z1",))
    before, seen = None, set()
    for _ in range(20):
        given = set(directory.list_addresses("z1", MAX_ADDRESSES))
        assert len(given) == MAX_ADDRESSES
        if before is not None:
            assert len(given & before) >= MAX_ADDRESSES * 3 // 4
        seen |= given
        before = given
        clock.advance(10.0)
        send_beats(directory, range(150), ("z1",))
    assert len(seen) == 150


def test_few_entries_are_all_returned():
    directory = make_directory(ManualClock(), 57)
    assert len(set(directory.list_addresses("z1", MAX_ADDRESSES))) == 57


REGIONS = {"z1": "north", "z2": "north", "z3": "south", "z4": "east"}


def list_zones(directory, region: str, allowed) -> set[str]:
    """Return the zones of the entries returned to a caller in z1."""
    given = directory.list_addresses("z1", MAX_ADDRESSES, region, allowed)
    return {address.partition("-")[0] for address in given}


def test_only_entries_of_allowed_regions_are_returned():
    # Guards against returning entries of all regions, which would send a
    # caller's body into a region that its route does not allow.
    clock = ManualClock()
    directory = EntryDirectory(clock, REGIONS)
    clock.advance(1.0)
    # z5 has no configured region, so it is in no allowed one
    send_beats(directory, range(100))
    south = frozenset({"south"})
    assert list_zones(directory, "north", south) == {"z1", "z2", "z3"}
    assert list_zones(directory, "east", south) == {"z3", "z4"}
    assert list_zones(directory, "north", None) == set(ZONES)
    # without an allowed entry all are returned: they reject the request
    nowhere = frozenset({"west"})
    assert list_zones(directory, "west", nowhere) == set(ZONES)
