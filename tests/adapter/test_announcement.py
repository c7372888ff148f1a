"""Tests of reading what targets say of themselves."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from adapter.announcement import AnnouncementError
from adapter.announcement import decode_announcement
from adapter.announcement import decode_deregistration
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState

PLAIN = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold-left-ms": 500,
    "seq": 4,
    "born": 1700000000000,
}
NEEDED = ("service", "address", "slots", "state", "seq")
# What another writer may put in place of a value.
STRANGE = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
)


def decode(plain, instance="i-1") -> Target:
    """Read an announcement of a plain object."""
    body = plain if isinstance(plain, bytes) else json.dumps(plain).encode()
    return decode_announcement(instance, body, 100.0)


def test_announcement_of_a_target():
    target = decode(PLAIN)
    assert target.state is TargetState.READY
    assert (target.number, target.slots) == (4, 24)
    assert (target.heard, target.warm_at) == (100.0, 100.5)
    assert target.born == 1700000000000


def test_target_that_does_not_tell_its_start():
    plain = {name: PLAIN[name] for name in NEEDED}
    assert decode(plain).born == 0


@pytest.mark.parametrize("name", NEEDED)
def test_what_is_missing_makes_it_void(name):
    plain = {key: value for key, value in PLAIN.items() if key != name}
    with pytest.raises(AnnouncementError):
        decode(plain)


# An unknown state counted as ready, true as the number one, and not-a-number
# as a time: callers' requests went to an address of another writer.
@pytest.mark.parametrize(
    "name,value",
    [
        ("state", "asleep"),
        ("state", ["ready"]),
        ("seq", True),
        ("seq", "4"),
        ("seq", 4.0),
        ("seq", 2**63),
        ("seq", -1),
        ("born", True),
        ("born", 1.5),
        ("born", None),
        ("slots", 0),
        ("slots", None),
        ("service", ""),
        ("service", 7),
        ("zone", 7),
        ("zone", "z" * 1000),
        ("address", "10.0.0.1"),
        ("address", "host:80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:\u0668\u0660"),
        ("cold-left-ms", float("nan")),
        ("cold-left-ms", float("inf")),
        ("cold-left-ms", 10**400),
        ("cold-left-ms", -1),
        ("cold-left-ms", "5"),
    ],
)
def test_what_no_target_says_makes_it_void(name, value):
    with pytest.raises(AnnouncementError):
        decode({**PLAIN, name: value})


@pytest.mark.parametrize(
    "body", [b"", b"{", b"\xff\xfe", b"[]", b"null", b"[" * 100_000]
)
def test_bytes_that_are_no_object_make_it_void(body):
    with pytest.raises(AnnouncementError):
        decode(body)


@pytest.mark.parametrize("instance", ["a\r\nX-Team: t", "", "a b", "\u00e9"])
def test_name_that_would_add_headers_makes_it_void(instance):
    with pytest.raises(AnnouncementError):
        decode(PLAIN, instance)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(name=strategies.sampled_from(sorted(PLAIN)), value=STRANGE)
def test_another_value_is_void_or_read_as_it_is(name, value):
    try:
        target = decode({**PLAIN, name: value})
    except AnnouncementError:
        return
    read = {
        "service": target.service,
        "address": target.address,
        "zone": target.zone,
        "slots": target.slots,
        "seq": target.number,
        "born": target.born,
    }
    if name in read:
        assert read[name] == value and type(read[name]) is type(value)
    assert target.state is TargetState.READY
    assert 100.0 <= target.warm_at <= 3700.0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(body=strategies.binary(max_size=60))
def test_bytes_of_another_writer_raise_nothing_else(body):
    with pytest.raises(AnnouncementError):
        decode(body)


def test_farewell_names_a_life_or_none():
    assert decode_deregistration(b"") is None
    assert decode_deregistration(b"{}") is None
    assert decode_deregistration(b'{"born": 17}') == 17
    for body in (b"[", b"[]", b'{"born": true}'):
        with pytest.raises(AnnouncementError):
            decode_deregistration(body)
