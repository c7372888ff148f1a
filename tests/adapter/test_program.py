"""Tests of the program's imports and of its errors at start."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from chivepier.standins.cluster import find_port

PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "chivepierd.py"
# Importing these would delay a restart, during which nothing is answered.
FORBIDDEN_MODULES = {
    "entry": (
        "numpy",
        "yaml",
        "matplotlib",
        "prometheus_client",
        "chivepier.node",
        "chivepier.policy",
        "chivepier.state",
        "chivepier.gateway.control.voter",
    ),
    "voter": (
        "numpy",
        "yaml",
        "matplotlib",
        "prometheus_client",
        "chivepier.node",
        "chivepier.policy",
        "chivepier.gateway.entry",
    ),
}
IMPORTS = {
    "entry": (
        "import adapter.callers, adapter.httptargetclient, "
        "adapter.configcodec"
    ),
    "voter": "import adapter.control",
}


@pytest.mark.parametrize("role", FORBIDDEN_MODULES)
def test_role_does_not_import_unneeded_modules(role):
    code = (
        f"import sys; sys.path.insert(0, {str(PROGRAM.parent)!r})\n"
        f"import adapter.program\n{IMPORTS[role]}\n"
        "import json; print(json.dumps(sorted(sys.modules)))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )
    loaded = set(json.loads(completed.stdout))
    assert not loaded & set(FORBIDDEN_MODULES[role])


def run_program(role: str, settings: str | None):
    """Run the program with a settings file and return the ended process."""
    env = {k: v for k, v in os.environ.items() if k != "CHIVEPIER_BOOT"}
    if settings is not None:
        env["CHIVEPIER_BOOT"] = settings
    return subprocess.run(
        [sys.executable, str(PROGRAM), role],
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("role", ("entry", "voter"))
def test_missing_settings_are_reported_in_one_line(role, tmp_path):
    completed = run_program(role, None)
    assert completed.returncode == 2
    assert (
        completed.stderr
        == "chivepierd: the variable CHIVEPIER_BOOT is not set\n"
    )
    path = tmp_path / "settings.conf"
    path.write_text("node-name=n1\n")
    completed = run_program(role, str(path))
    assert completed.returncode == 2
    assert (
        "is missing" in completed.stderr and completed.stderr.count("\n") == 1
    )


def test_unknown_role_is_a_usage_error():
    assert run_program("other", None).returncode == 2


def run_failing_voter(folder, patch: str):
    """Run a lone voter, patched by some code, until it ends."""
    port = find_port()
    path = folder / "settings.conf"
    path.write_text(
        "node-name=v1\nip=127.0.0.1\nzone=z1\nbeat-interval-ms=1000\n"
        f"port-range={port},{port + 1}\nseeds=127.0.0.1:1\nbootstrap=true\n"
        f"listen.control=127.0.0.1:{find_port()}\n"
        f"listen.directory=127.0.0.1:{find_port()}\n"
        f"data-dir={folder / 'data'}\nbounds.ttl_max_s=5\n"
    )
    code = (
        f"import sys; sys.path.insert(0, {str(PROGRAM.parent)!r})\n"
        f"import chivepierd\n{patch}\nchivepierd.main(['voter'])"
    )
    return subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "CHIVEPIER_BOOT": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )


@pytest.mark.parametrize(
    "part, kind",
    (
        ("elections import Elections as Part; name = '_may_stand'", ""),
        ("applying import Applying as Part; name = '_has_next'", ""),
        ("recovery import Recovery as Part; name = 'run'", "async "),
        ("tenure import Tenure as Part; name = '_write_batch'", "async "),
    ),
)
def test_voter_without_its_part_in_the_log_ends(tmp_path, part, kind):
    # Guards against voters that all run and answer, and know no leader to
    # the end, as the tasks that would elect one have ended.
    patch = (
        f"from chivepier.state.{part}\n"
        f"{kind}def fail(*args): raise RuntimeError('unexpected')\n"
        "setattr(Part, name, fail)"
    )
    completed = run_failing_voter(tmp_path, patch)
    assert completed.returncode == 5, completed
    assert (
        "chivepierd: the voter has failed: RuntimeError('unexpected')"
        in completed.stderr.splitlines()
    )
    assert '"event":"voter_failed"' in completed.stdout


def test_damaged_folder_is_reported_in_one_line(tmp_path):
    # Guards against an end by a traceback, with a status of no meaning.
    patch = (
        "import chivepier.gateway.control.bootstrap as bootstrap\n"
        "from chivepier.state import DamagedError\n"
        "def fail(*args, **named): raise DamagedError('log: at byte 7')\n"
        "bootstrap.DiskStorage = fail"
    )
    completed = run_failing_voter(tmp_path, patch)
    assert completed.returncode == 3, completed
    text = "chivepierd: data folder is damaged: log: at byte 7\n"
    assert completed.stderr == text
