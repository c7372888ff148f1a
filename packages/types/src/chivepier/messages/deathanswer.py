"""The DeathAnswer message."""

from chivepier.messages.registry import message


@message(107)
class DeathAnswer:
    """``dead``: its port refuses connections, or another run answers."""

    dead: bool
