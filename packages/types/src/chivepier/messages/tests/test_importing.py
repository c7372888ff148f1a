"""Tests of importing message classes when they are first used."""

import subprocess
import sys

import pytest

import chivepier.messages

READ = """
import sys
from chivepier.messages.codec import decode
assert "chivepier.messages.voter" not in sys.modules
print(type(decode(bytes.fromhex(sys.argv[1]))).__name__)
"""


def test_message_that_was_never_imported_here_can_be_read():
    # A process got a message of a class that nothing in it had used; with
    # its class unknown, all that came in the same frame was dropped.
    noop = chivepier.messages.encode(chivepier.messages.Noop())
    command = [sys.executable, "-c", READ, noop.hex()]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    assert done.stdout.strip() == "Noop"


def test_every_name_of_the_package_is_there():
    for name in chivepier.messages.__all__:
        assert getattr(chivepier.messages, name) is not None


def test_unknown_names_and_tags_are_told():
    with pytest.raises(AttributeError):
        chivepier.messages.NoSuchName
    with pytest.raises(KeyError):
        chivepier.messages.unpack(99_999, ())
