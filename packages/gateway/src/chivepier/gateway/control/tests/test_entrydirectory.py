"""Tests of which addresses callers are given."""

import collections
import random

from chivepier.gateway.control import EntryDirectory
from chivepier.gateway.messages import EntryBeat
from chivepier.types import ManualClock

ZONES = ("z1", "z2", "z3", "z4", "z5")
MOST = 64


class FakeChannel:
    """A link that is there."""

    closed = False


def make_directory(clock, count=200, zones=ZONES) -> EntryDirectory:
    """Make a directory that has heard so many entries, spread over zones."""
    directory = EntryDirectory(clock)
    clock.advance(1.0)
    speak(directory, range(count), zones)
    return directory


def speak(directory, numbers, zones=ZONES, ready=True) -> None:
    """Let entries say that they live."""
    order = list(numbers)
    random.Random(len(order)).shuffle(order)
    for number in order:
        zone = zones[number % len(zones)]
        beat = EntryBeat(
            f"e{number}", f"{zone}-{number}:80", zone, ready, 1, "", 0
        )
        directory.record_beat(beat, FakeChannel())


def find_shares(directory) -> dict[str, float]:
    """Return what part of one caller a zone each entry gets."""
    shares: dict[str, float] = collections.defaultdict(float)
    for zone in ZONES:
        given = directory.list_addresses(zone, MOST)
        for address in given:
            shares[address] += 1 / len(given)
    return shares


def test_all_of_200_entries_get_callers():
    # Named in the order of their first words, the last entries got no caller.
    shares = find_shares(make_directory(ManualClock()))
    mean = len(ZONES) / 200
    assert len(shares) == 200
    assert max(shares.values()) < 1.3 * mean
    assert min(shares.values()) > 0.6 * mean


def test_most_addresses_lie_in_the_zone_of_the_caller():
    directory = make_directory(ManualClock())
    for zone in ZONES:
        given = directory.list_addresses(zone, MOST)
        near = [a for a in given if a.startswith(zone)]
        assert len(given) == len(set(given)) == MOST
        assert len(near) == 40


def test_voters_name_the_same_addresses_again():
    # Callers close their connections to what is no longer named. Voters that
    # heard the entries in another order must not name others.
    clock = ManualClock()
    one, two = make_directory(clock), make_directory(clock)
    speak(one, range(100))
    assert one.list_addresses("z1", MOST) == two.list_addresses("z1", MOST)


def test_callers_of_a_zone_that_is_lost_are_given_all_the_others():
    # All entries of a zone fall silent. Until callers ask again they have 24
    # addresses elsewhere; then they get those alone, and all of these serve.
    clock = ManualClock()
    directory = make_directory(clock)
    clock.advance(1.3)
    speak(directory, [n for n in range(200) if n % 5])
    for zone in ZONES:
        given = directory.list_addresses(zone, MOST)
        assert len(given) == MOST
        assert not [a for a in given if a.startswith("z1")]
    assert len(find_shares(directory)) == 160


def test_entries_that_leave_are_not_named():
    directory = make_directory(ManualClock())
    speak(directory, range(0, 200, 2), ready=False)
    given = {a for z in ZONES for a in directory.list_addresses(z, MOST)}
    numbers = {int(a.split("-")[1].split(":")[0]) for a in given}
    assert numbers == set(range(1, 200, 2))


def test_zone_with_more_entries_than_an_answer_holds_uses_all_in_turn():
    clock = ManualClock()
    directory = make_directory(clock, 150, ("z1",))
    before, seen = None, set()
    for _ in range(20):
        given = set(directory.list_addresses("z1", MOST))
        assert len(given) == MOST
        if before is not None:
            assert len(given & before) >= MOST * 3 // 4
        seen |= given
        before = given
        clock.advance(10.0)
        speak(directory, range(150), ("z1",))
    assert len(seen) == 150


def test_few_entries_are_all_named():
    directory = make_directory(ManualClock(), 57)
    assert len(set(directory.list_addresses("z1", MOST))) == 57


REGIONS = {"z1": "north", "z2": "north", "z3": "south", "z4": "east"}


def list_zones(directory, region: str, allowed) -> set[str]:
    """Name the zones of the entries that a caller of z1 is given."""
    given = directory.list_addresses("z1", MOST, region, allowed)
    return {address.partition("-")[0] for address in given}


def test_look_up_names_entries_of_allowed_regions_only():
    # A caller's body was sent to an entry of a region that its route keeps
    # it out of: the look-up named entries of all regions.
    clock = ManualClock()
    directory = EntryDirectory(clock, REGIONS)
    clock.advance(1.0)
    # the settings tell no region of z5: it lies in none that is allowed
    speak(directory, range(100))
    south = frozenset({"south"})
    assert list_zones(directory, "north", south) == {"z1", "z2", "z3"}
    assert list_zones(directory, "east", south) == {"z3", "z4"}
    assert list_zones(directory, "north", None) == set(ZONES)
    # any entry is better than none: it answers that nothing was run
    nowhere = frozenset({"west"})
    assert list_zones(directory, "west", nowhere) == set(ZONES)
