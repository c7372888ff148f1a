"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """What one entry runs at one target: absolute counts.

    ``exposed`` is the memory, in tokens, that it has to copy off a target
    that leaves.
    """

    entry: str
    instance: str
    runs: int
    tokens: int
    exposed: int
