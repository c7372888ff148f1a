"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """What one entry runs at one target: absolute counts.

    ``exposed`` is how long it needs to copy memory off a target that leaves,
    in milliseconds.
    """

    entry: str
    instance: str
    runs: int
    tokens: int
    exposed: int
