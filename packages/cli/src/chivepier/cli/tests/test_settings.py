"""Tests of chivepierd's settings: refused before anything is touched."""

import os
import pathlib
import subprocess
import sys

import pytest

DAEMON = pathlib.Path(sys.executable).parent / "chivepierd"
GOOD = {
    "NAME": "n1",
    "ZONE": "a",
    "LISTEN": "127.0.0.1:0",
    "PEER_LISTEN": "127.0.0.1:0",
    "CLUSTER_KEY": "cluster-key",
    "OPERATOR_KEY": "operator-key",
    "DEPLOYMENT_KEY": "deployment-key",
}


def run_check(changes, *options):
    settings = {**GOOD, **changes}
    env = {f"CHIVEPIER_{k}": v for k, v in settings.items() if v is not None}
    path = {"PATH": os.environ["PATH"]}
    return subprocess.run(
        [DAEMON, "--check", *options],
        env={**env, **path},
        capture_output=True,
        text=True,
    )


def test_good_settings_pass_and_keys_stay_hidden():
    result = run_check({}, "--print-settings")
    assert result.returncode == 0, result.stderr
    assert "name=n1" in result.stdout
    assert "cluster-key" not in result.stdout


@pytest.mark.parametrize(
    "changes,options",
    [
        ({"NAME": None}, []),
        ({"LISTEN": "nowhere"}, []),
        ({"LISTEN": "127.0.0.1:99999"}, []),
        ({"CLUSTER_KEY": "short"}, []),
        ({"OPERATOR_KEY": "cluster-key"}, []),
        ({"ADVERTISE": "0.0.0.0:80"}, []),
        ({"ADDRESS_TTL": "0"}, []),
        ({"PEER_LISTEN": "127.0.0.1:9", "LISTEN": "127.0.0.1:9"}, []),
        ({}, ["--no-such-option"]),
    ],
    ids=[
        "missing",
        "malformed",
        "port out of range",
        "key too short",
        "two keys equal",
        "advertise any",
        "ttl out of range",
        "same port twice",
        "unknown",
    ],
)
def test_bad_setting_gives_one_clear_line_and_exit_2(
    tmp_path, changes, options
):
    folder = tmp_path / "data"
    result = run_check({**changes, "DATA_DIR": str(folder)}, *options)
    assert result.returncode == 2
    errors = [s for s in result.stderr.splitlines() if "Error:" in s]
    assert len(errors) == 1
    assert not folder.exists()
