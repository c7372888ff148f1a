"""The CommandRequest message."""

from chivepier.messages.registry import message


@message(60)
class CommandRequest:
    """Ask the leader to commit a command."""

    command: bytes
    wait_in_force: bool
