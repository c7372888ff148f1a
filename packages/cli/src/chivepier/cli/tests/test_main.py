"""Tests of the command line as a person uses it."""

import socket

from click.testing import CliRunner
import pytest

from chivepier.cli.commands import COMMANDS
from chivepier.cli.main import main

NOBODY = ["--address", "127.0.0.1:1", "--operator-key", "k"]
NOT_READY_EXIT = 20


@pytest.mark.parametrize("command", COMMANDS, ids=lambda c: c.name)
def test_help_exists(command):
    result = CliRunner().invoke(main, [*NOBODY, command.name, "--help"])
    assert result.exit_code == 0
    assert "Usage:" in result.output


def test_no_instance_gives_one_line_and_its_exit_code():
    result = CliRunner().invoke(main, [*NOBODY, "status"])
    assert result.exit_code == NOT_READY_EXIT
    assert result.output.startswith("Error: not_ready:")
    assert result.output.count("\n") == 1


def test_missing_address_is_a_usage_error():
    result = CliRunner().invoke(main, ["status"])
    assert result.exit_code == 2


def test_silent_instance_is_passed_over():
    # A frozen instance takes the connection, and the command would hang at it.
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        options = ["--address", f"127.0.0.1:{port}", *NOBODY, "status"]
        result = CliRunner().invoke(main, options)
    assert result.exit_code == NOT_READY_EXIT
    assert "127.0.0.1:1:" in result.output
