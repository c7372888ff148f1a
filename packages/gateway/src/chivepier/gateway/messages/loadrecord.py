"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """What one entry runs at one target: an absolute count."""

    entry: str
    instance: str
    runs: int
    tokens: int
