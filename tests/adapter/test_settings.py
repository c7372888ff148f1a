"""Tests of the platform's settings file."""

import pytest

from adapter.settingserror import SettingsError
from adapter.settingsfile import SettingsFile
from chivepier.gateway.settings import DEFAULT_BODY_BYTES

LINES = {
    "node-name": "front-1",
    "ip": "10.1.0.19",
    "zone": "z1",
    "listen.front": "10.1.0.19:8740",
    "port-range": "7200,7215",
    "seeds": "10.1.0.22:8748,10.2.0.16:8748",
    "data-dir": "/data/x",
    "bootstrap": "true",
    "beat-interval-ms": "1200",
    "bounds.budget-ratio": "0.2",
    "bounds.budget-extra": "56",
    "bounds.budget-window-s": "10",
    "bounds.drain-ms": "2000",
    "bounds.grace-s": "8",
    "bounds.ttl_max_s": "5",
}


def make(**changes) -> SettingsFile:
    """Make a file's content, with names written with underscores."""
    values = {**LINES, **changes}
    return SettingsFile({k: v for k, v in values.items() if v is not None})


def test_settings_of_an_entry():
    entry = make().make_entry()
    assert (entry.name, entry.zone) == ("front-1", "z1")
    assert entry.address == "10.1.0.19:8740"
    # the seeds are where operators ask; peers listen at the first free port
    assert entry.seeds == ("10.1.0.22:7200", "10.2.0.16:7200")
    assert (entry.beat, entry.grace) == (1.2, 8.0)
    assert entry.repeat_extra == 56


def test_bodies_take_a_part_of_the_memory_at_most():
    assert make().make_entry().body_bytes == DEFAULT_BODY_BYTES
    entry = make(**{"limits.memory-mb": "128"}).make_entry()
    assert entry.body_bytes == 16 << 20


def test_digests_of_requests_are_checked():
    # A head of two digits would keep out every request of a hundred.
    entry = make().make_entry(("0a1b0a1b0a1b",), ("ffffffff",))
    assert entry.orders.allows("0a1b0a1b0a1b22")
    assert entry.orders.blocks("ffffffff")
    for wrong in ("", "0a", "0A1B0A1B", "0a1b0a1b-"):
        with pytest.raises(SettingsError, match="keep_out is not the head"):
            make().make_entry((), (wrong,))


def test_settings_of_a_voter():
    voter = make().make_voter()
    assert voter.address == "10.1.0.19:7200"
    assert str(voter.folder) == "/data/x" and voter.found
    assert not make(bootstrap="false").make_voter().found


def test_addresses_are_kept_no_longer_than_is_allowed():
    assert make().address_seconds == 1.0
    assert make(**{"bounds.ttl_max_s": "0.5"}).address_seconds == 0.5


@pytest.mark.parametrize(
    "name, value, text",
    [
        ("node-name", None, "node-name is missing"),
        ("beat-interval-ms", "soon", "beat-interval-ms is not a number"),
        ("bounds.grace-s", "-1", "bounds.grace-s is not a number"),
        ("bounds.grace-s", None, "bounds.grace-s is missing"),
        ("listen.front", "10.1.0.19", "listen.front is not ip:port"),
        ("seeds", "10.1.0.22", "seeds is not ip:port"),
        ("port-range", "x", "port-range"),
    ],
)
def test_what_is_missing_or_wrong_is_named(name, value, text):
    with pytest.raises(SettingsError, match=text):
        make(**{name: value}).make_entry()


def test_file_that_is_missing_or_malformed_is_named(monkeypatch, tmp_path):
    monkeypatch.delenv("CHIVEPIER_BOOT", raising=False)
    with pytest.raises(SettingsError, match="CHIVEPIER_BOOT is not set"):
        SettingsFile.load()
    monkeypatch.setenv("CHIVEPIER_BOOT", str(tmp_path / "none"))
    with pytest.raises(SettingsError, match="none"):
        SettingsFile.load()
    with pytest.raises(SettingsError, match="line 2"):
        SettingsFile.parse("a=1\nb\n")


def test_unknown_settings_and_empty_values_are_left_alone():
    found = SettingsFile.parse("new.thing=1\n\nempty=\n")
    assert found.values == {"new.thing": "1", "empty": ""}
