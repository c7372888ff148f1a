"""Tests of reading the platform's settings file."""

import pytest

from adapter.settingserror import SettingsError
from adapter.settingsfile import SettingsFile
from chivepier.gateway.settings import DEFAULT_BODY_BYTES
from chivepier.gateway.settings import InstanceLimits

SETTINGS = {
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


def make_file(**changes) -> SettingsFile:
    """Build a settings file; ``None`` removes a setting."""
    values = {**SETTINGS, **changes}
    return SettingsFile({k: v for k, v in values.items() if v is not None})


def test_settings_of_an_entry():
    entry = make_file().make_entry_settings()
    assert (entry.name, entry.zone) == ("front-1", "z1")
    assert entry.address == "10.1.0.19:8740"
    # seeds are operator addresses; peers listen on the first port of the range
    assert entry.seeds == ("10.1.0.22:7200", "10.2.0.16:7200")
    assert (entry.beat, entry.grace) == (1.2, 8.0)
    assert entry.repeat_extra == 56


def test_body_memory_is_a_fraction_of_the_limit():
    assert make_file().make_entry_settings().body_bytes == DEFAULT_BODY_BYTES
    entry = make_file(**{"limits.memory-mb": "128"}).make_entry_settings()
    assert entry.body_bytes == 16 << 20


def test_limits_of_an_instance_are_optional():
    # Guards against limits that are made up where the file names none.
    assert make_file().make_entry_settings().limits == InstanceLimits()
    unknown = {"limits.max-fds": "", "limits.link-mbps": "inf"}
    assert make_file(**unknown).make_entry_settings().limits.link_mbps == 0.0
    limits = {
        "limits.cpu-share": "0.3",
        "limits.cores": "2",
        "limits.memory-mb": "128",
        "limits.link-mbps": "7.5",
        "limits.max-fds": "3075",
    }
    assert make_file(**limits).make_entry_settings().limits == InstanceLimits(
        cores=0.6,
        memory_bytes=128 << 20,
        link_mbps=7.5,
        descriptors=3075,
        connections=2875,
    )


def test_invalid_digest_prefixes_are_rejected():
    # A prefix of two digits would block about one in 256 of all requests.
    entry = make_file().make_entry_settings(("0a1b0a1b0a1b",), ("ffffffff",))
    assert entry.orders.allows("0a1b0a1b0a1b22")
    assert entry.orders.blocks("ffffffff")
    for invalid in ("", "0a", "0A1B0A1B", "0a1b0a1b-"):
        with pytest.raises(SettingsError, match="keep_out is not the head"):
            make_file().make_entry_settings((), (invalid,))


def test_settings_of_a_voter():
    voter = make_file().make_voter_settings()
    assert voter.address == "10.1.0.19:7200"
    assert str(voter.folder) == "/data/x" and voter.found
    assert not make_file(bootstrap="false").make_voter_settings().found


def test_address_ttl_is_capped_by_its_setting():
    assert make_file().address_ttl_seconds == 1.0
    assert make_file(**{"bounds.ttl_max_s": "0.5"}).address_ttl_seconds == 0.5


@pytest.mark.parametrize(
    "name, value, text",
    [
        ("node-name", None, "node-name is missing"),
        ("beat-interval-ms", "soon", "beat-interval-ms is not a number"),
        ("bounds.grace-s", "-1", "bounds.grace-s is not a number"),
        ("limits.link-mbps", "fast", "limits.link-mbps is not a number"),
        ("limits.max-fds", "-1", "limits.max-fds is not a number"),
        ("bounds.grace-s", None, "bounds.grace-s is missing"),
        ("listen.front", "10.1.0.19", "listen.front is not ip:port"),
        ("seeds", "10.1.0.22", "seeds is not ip:port"),
        ("port-range", "x", "port-range"),
    ],
)
def test_error_names_the_missing_or_invalid_setting(name, value, text):
    with pytest.raises(SettingsError, match=text):
        make_file(**{name: value}).make_entry_settings()


def test_error_names_the_missing_or_malformed_file(monkeypatch, tmp_path):
    monkeypatch.delenv("CHIVEPIER_BOOT", raising=False)
    with pytest.raises(SettingsError, match="CHIVEPIER_BOOT is not set"):
        SettingsFile.load()
    monkeypatch.setenv("CHIVEPIER_BOOT", str(tmp_path / "none"))
    with pytest.raises(SettingsError, match="none"):
        SettingsFile.load()
    with pytest.raises(SettingsError, match="line 2"):
        SettingsFile.parse("a=1\nb\n")


def test_unknown_settings_and_empty_values_are_accepted():
    found = SettingsFile.parse("new.thing=1\n\nempty=\n")
    assert found.values == {"new.thing": "1", "empty": ""}


def test_tolerated_losses_are_those_of_single_machines():
    # Guards against a vote taken as spare where a lost zone takes more disks.
    machines = {"fault-tolerance.machines": "2"}
    told = make_file(**machines).make_voter_settings()
    assert told.tolerated_losses == 2
    zone = machines | {"fault-tolerance.zones": "1"}
    assert make_file(**zone).make_voter_settings().tolerated_losses is None
