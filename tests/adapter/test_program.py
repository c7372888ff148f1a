"""Tests of the program's imports and of its errors at start."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

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
