"""Tests of decoding targets' announcements."""

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

ANNOUNCEMENT = {
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
REQUIRED_FIELDS = ("service", "address", "slots", "state", "seq")
# Values that a writer other than a target may send.
ARBITRARY_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.dictionaries(strategies.text(max_size=3), strategies.none()),
)


def decode(fields, instance="i-1") -> Target:
    """Decode an announcement with the given fields or body."""
    body = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return decode_announcement(instance, body, 100.0)


def test_announcement_is_decoded():
    target = decode(ANNOUNCEMENT)
    assert target.state is TargetState.READY
    assert (target.number, target.slots) == (4, 24)
    assert (target.heard, target.warm_at) == (100.0, 100.5)
    assert target.born == 1700000000000
    assert target.software_version == "v1"


def test_start_of_incarnation_is_optional():
    fields = {name: ANNOUNCEMENT[name] for name in REQUIRED_FIELDS}
    assert decode(fields).born == 0
    assert decode(fields).software_version == ""


@pytest.mark.parametrize("name", REQUIRED_FIELDS)
def test_announcement_without_required_field_is_rejected(name):
    fields = {key: value for key, value in ANNOUNCEMENT.items() if key != name}
    with pytest.raises(AnnouncementError):
        decode(fields)


# Unknown states counted as ready, true as 1 and NaN as a time, so requests
# went to addresses that writers other than targets had announced.
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
        # a link between voters that was to send one of these sent no more
        ("service", "\ud800"),
        ("zone", "z\udcff"),
        ("version", "\udfff"),
        ("version", 7),
        ("version", None),
        ("version", ""),
        ("version", "v" * 1000),
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
def test_announcement_with_invalid_value_is_rejected(name, value):
    with pytest.raises(AnnouncementError):
        decode({**ANNOUNCEMENT, name: value})


@pytest.mark.parametrize("name", ("service", "zone", "version"))
@pytest.mark.parametrize("text", ("\ud800", "pool-\udfff", "\udc80\ud801"))
def test_text_that_no_message_can_carry_is_rejected(name, text):
    # Guards against a target that voters know and can't tell of.
    with pytest.raises(AnnouncementError, match=name):
        decode(dict(ANNOUNCEMENT, **{name: text}))


@pytest.mark.parametrize(
    "body", [b"", b"{", b"\xff\xfe", b"[]", b"null", b"[" * 100_000]
)
def test_body_that_is_not_an_object_is_rejected(body):
    with pytest.raises(AnnouncementError):
        decode(body)


@pytest.mark.parametrize("instance", ["a\r\nX-Team: t", "", "a b", "\u00e9"])
def test_name_that_allows_header_injection_is_rejected(instance):
    with pytest.raises(AnnouncementError):
        decode(ANNOUNCEMENT, instance)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    name=strategies.sampled_from(sorted(ANNOUNCEMENT)), value=ARBITRARY_VALUES
)
def test_arbitrary_value_is_rejected_or_kept_unchanged(name, value):
    try:
        target = decode({**ANNOUNCEMENT, name: value})
    except AnnouncementError:
        return
    decoded = {
        "service": target.service,
        "address": target.address,
        "zone": target.zone,
        "slots": target.slots,
        "version": target.software_version,
        "seq": target.number,
        "born": target.born,
    }
    if name in decoded:
        assert decoded[name] == value and type(decoded[name]) is type(value)
    assert target.state is TargetState.READY
    assert 100.0 <= target.warm_at <= 3700.0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(body=strategies.binary(max_size=60))
def test_arbitrary_bytes_raise_only_announcement_errors(body):
    with pytest.raises(AnnouncementError):
        decode(body)


def test_deregistration_may_name_an_incarnation():
    assert decode_deregistration(b"") is None
    assert decode_deregistration(b"{}") is None
    assert decode_deregistration(b'{"born": 17}') == 17
    for body in (b"[", b"[]", b'{"born": true}'):
        with pytest.raises(AnnouncementError):
            decode_deregistration(body)
