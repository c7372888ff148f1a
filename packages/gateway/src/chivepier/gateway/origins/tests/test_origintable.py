"""Tests of what is kept of streams, and where."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivepier.gateway.origins import choose_holders
from chivepier.gateway.origins import HOLDERS
from chivepier.gateway.origins import MAX_ORIGINS
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.origins import pack_origin
from chivepier.gateway.origins import unpack_origin


def make(attempt="a1", version="v1", team="t1", service="s", until=60.0):
    """Make an origin that is noted at second 0."""
    return Origin(OriginKey(team, attempt), service, version, 0.0, until)


def find(table, attempt="a1", team="t1", now=1.0) -> str | None:
    """Return the version that a table knows of a stream."""
    origin = table.find(OriginKey(team, attempt), now)
    return origin and origin.software_version


def test_stream_of_another_team_is_another_stream():
    # A caller must not go on with the stream of another team.
    table = OriginTable()
    table.put(make(version="v1"), 0.0)
    table.put(make(version="v2", team="t2"), 0.0)
    assert find(table) == "v1"
    assert find(table, team="t2") == "v2"
    assert find(table, team="t3") is None


@pytest.mark.parametrize("change", [{"version": "v2"}, {"service": "other"}])
def test_streams_that_contradict_each_other_have_no_version(change):
    table = OriginTable()
    for origin in (make(), make(**change), make()):
        table.put(origin, 0.0)
    assert find(table) == ""


def test_stream_is_dropped_after_its_time():
    table = OriginTable()
    table.put(make(until=5.0), 0.0)
    assert find(table, now=4.9) == "v1"
    assert find(table, now=5.0) is None
    table.put(make(version="v2"), 6.0)
    assert find(table, now=7.0) == "v2"
    table.expire(61.0)
    assert len(table) == 0


def test_oldest_streams_are_dropped_first():
    # Callers choose the ids, so their number is bounded.
    table = OriginTable()
    for number in range(MAX_ORIGINS + 10):
        table.put(make(f"a{number}"), 0.0)
        table.put(make("kept"), 0.0)
    assert len(table) == MAX_ORIGINS
    assert find(table, "a0") is None
    assert find(table, f"a{MAX_ORIGINS + 9}") == find(table, "kept") == "v1"


def test_origin_keeps_its_ages_on_another_clock():
    origin = attrs.evolve(make(), noted_at=10.0, expires_at=70.0)
    moved = unpack_origin(pack_origin(origin, 20.0), 1000.0)
    assert moved == attrs.evolve(origin, noted_at=990.0, expires_at=1050.0)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    attempt=strategies.text(max_size=20),
    voters=strategies.sets(
        strategies.integers(1, 60), min_size=1, max_size=50
    ),
    lost=strategies.integers(0, HOLDERS - 1),
)
def test_holders_are_found_though_some_voters_are_lost(attempt, voters, lost):
    # The entry that asks may know of fewer voters than the one that told.
    key = OriginKey("t1", attempt)
    addresses = [f"10.0.0.{number}:72" for number in voters]
    told = choose_holders(key, addresses)
    assert len(told) == min(HOLDERS, len(addresses))
    left = [address for address in addresses if address not in told[:lost]]
    asked = choose_holders(key, reversed(left))
    assert set(told[lost:]) <= set(asked)
