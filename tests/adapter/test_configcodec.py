"""Tests of decoding the operator's configuration."""

import copy
import json
import math
import typing

import pytest

from adapter.configcodec import decode_config
from adapter.configcodec import decode_new_config
from chivepier.gateway.config import ConfigurationError
from chivepier.gateway.config import Repetition

CONFIG_FIELDS = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path-prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 39000,
            "slo-ms": 1800,
            "priority": 1,
            "traffic-split": [
                {"service": "llm", "weight": 90},
                {"service": "web", "weight": 10},
            ],
            "max-attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gap-slo-ms": 180,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path-prefix": "/b/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "slo-ms": 1500,
            "priority": 0,
            "service": "llm",
            "max-attempts": 2,
            "resumable": True,
        },
        {
            "name": "r3",
            "host": "h.example",
            "path-prefix": "/c/",
            "kind": "idempotent",
            "timeout-ms": 800,
            "service": "web",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "llm",
            "health-path": "/health",
            "max-conns": 272,
            "engine": {
                "slots": 24,
                "kv-capacity": 34231,
                "token-kv-bytes": 262144,
                "link-mbps": 38000.0,
                "moves": True,
                "backups": True,
                "stride": 4,
                "handle-s": 5.0,
            },
        },
        {"name": "web", "max-conns": 100},
    ],
    "limits": {"max-body-bytes": 1000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}],
}


def decode(change=None):
    """Decode the base configuration after a change."""
    fields = copy.deepcopy(CONFIG_FIELDS)
    if change is not None:
        change(fields)
    return decode_config(json.dumps(fields).encode())


def test_configuration_is_decoded():
    found = decode()
    first, second, third = found.routes
    assert found.version == 7
    assert first.pools == (("llm", 90.0), ("web", 10.0))
    assert (first.timeout, first.objective) == (39.0, 1.8)
    assert first.repetition is Repetition.ONCE and first.streaming
    assert second.repetition is Repetition.RESUMABLE
    assert second.attempts == 2 and second.urgency == 0
    assert third.repetition is Repetition.IDEMPOTENT and third.public
    assert third.objective == 0.8
    engine = found.services[0].engine
    assert (engine.slots, engine.memory_tokens) == (24, 34231)
    assert engine.event_tokens == 4 and engine.moves
    # 262,144 bytes at 38 gigabits per second
    assert round(engine.token_seconds * 1e6, 1) == 55.2
    assert found.services[1].engine is None
    assert found.limits.body_bytes == 1000
    assert found.limits.idle_seconds == 15.0
    assert found.teams[0].keys == ("k1", "k2")


def test_configuration_without_teams_is_valid():
    found = decode(lambda fields: fields.pop("tenants"))
    assert found.teams == ()


@pytest.mark.parametrize(
    "change, text",
    [
        (lambda p: p.pop("version"), "version is missing"),
        (lambda p: p.update(version="7"), "version"),
        (lambda p: p.update(version=True), "version"),
        (lambda p: p.update(version=2**63), "version"),
        (lambda p: p.pop("routes"), "routes is missing"),
        (lambda p: p["limits"].update({"max-body-bytes": 1e999}), "of no use"),
        (lambda p: p["routes"][0].update({"timeout-ms": 10**400}), "no use"),
        (lambda p: p.update(routes=3), "of no use"),
        # no message of entries can hold such a name
        (lambda p: p["services"][1].update(name="\ud800"), "not a name"),
        (lambda p: p["tenants"][0].update(name="\ud800"), "not a name"),
        (lambda p: p["routes"][0].update(kind="x"), "unknown kind"),
        (lambda p: p["routes"][1].update(service="x"), "no service 'x'"),
        (lambda p: p["routes"][1].pop("service"), "service is missing"),
        (lambda p: p["routes"][1].update({"timeout-ms": 0}), "timeout"),
        (lambda p: p["routes"][1].update({"path-prefix": "/a/"}), "taken"),
        (
            lambda p: [
                part.update(weight=0)
                for part in p["routes"][0]["traffic-split"]
            ],
            "weights",
        ),
        (
            lambda p: p["tenants"].append({"name": "t2", "api-keys": ["k2"]}),
            "share a key",
        ),
        (lambda p: p["services"].append({"name": "web"}), "share a name"),
    ],
)
def test_error_names_the_invalid_value(change, text):
    with pytest.raises(ConfigurationError, match=text):
        decode(change)


@pytest.mark.parametrize("body", [b"", b"{", b"[1]", b"null", b"\xff", b"7"])
def test_body_that_is_not_an_object_is_refused(body):
    with pytest.raises(ConfigurationError):
        decode_config(body)


def test_truncated_configuration_is_refused():
    body = json.dumps(CONFIG_FIELDS).encode()
    for end in range(0, len(body) - 1, 37):
        with pytest.raises(ConfigurationError):
            decode_config(body[:end])


def set_same_place(fields: dict) -> None:
    """Give two routes one place, as entries compare hosts."""
    fields["routes"][1] |= {"host": "H.Example", "path-prefix": "/a/"}


def make_weight_setter(
    weight: float | str,
) -> typing.Callable[[dict], None]:
    """Return a change that gives the only service of a route a weight."""

    def set_weight(fields: dict) -> None:
        pools = [{"service": "llm", "weight": weight}]
        fields["routes"][0]["traffic-split"] = pools

    return set_weight


def set_timeout(fields: dict) -> None:
    """Give a route an endless timeout."""
    fields["routes"][0]["timeout-ms"] = math.inf


def set_limit(fields: dict) -> None:
    """Give callers' connections a limit that is no number."""
    fields["limits"]["idle-timeout-ms"] = math.nan


def set_unread_number(fields: dict) -> None:
    """Write a number that no JSON has where nobody reads it."""
    fields["comment"] = math.nan


# Changes after which entries can't serve by a configuration as it says.
UNSERVABLE = {
    "same-place": set_same_place,
    "nan": make_weight_setter(math.nan),
    "infinity": make_weight_setter(math.inf),
    "named-nan": make_weight_setter("nan"),
    "timeout": set_timeout,
    "limit": set_limit,
    "unread": set_unread_number,
}


@pytest.mark.parametrize("change", UNSERVABLE.values(), ids=UNSERVABLE)
def test_what_an_earlier_release_accepted_is_still_read(change):
    # An entry that can't read it after an upgrade would serve nothing.
    fields = copy.deepcopy(CONFIG_FIELDS)
    change(fields)
    body = json.dumps(fields).encode()
    with pytest.raises(ConfigurationError):
        decode_new_config(body)
    assert len(decode_config(body).routes) == 3


def test_number_too_large_to_calculate_with_is_refused():
    # It is JSON, but is read as infinite.
    fields = copy.deepcopy(CONFIG_FIELDS)
    make_weight_setter(12345.0)(fields)
    body = json.dumps(fields).encode().replace(b"12345.0", b"1e999")
    with pytest.raises(ConfigurationError, match="finite"):
        decode_new_config(body)
    assert len(decode_config(body).routes) == 3


def test_refused_constant_is_named():
    fields = copy.deepcopy(CONFIG_FIELDS)
    set_unread_number(fields)
    with pytest.raises(ConfigurationError, match="NaN"):
        decode_new_config(json.dumps(fields).encode())


def test_refused_route_is_named_with_the_one_that_has_its_place():
    fields = copy.deepcopy(CONFIG_FIELDS)
    set_same_place(fields)
    body = json.dumps(fields).encode()
    with pytest.raises(ConfigurationError, match="r2.*place of route r1"):
        decode_new_config(body)
