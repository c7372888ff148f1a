"""The TargetLoad message."""

from chivepier.messages.registry import message


@message(90)
class TargetLoad:
    """A target's own, lagged report of its load."""

    running: int
    waiting: int
    used_tokens: int
    preemptions: int
