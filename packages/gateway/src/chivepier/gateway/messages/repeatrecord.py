"""The RepeatRecord message."""

from chivepier.messages.registry import message


@message(165)
class RepeatRecord:
    """Retries that one entry has recently used out of the shared budget."""

    entry: str
    service: str
    used: int
