"""The QueueRecord message."""

from chivepier.messages.registry import message


@message(163)
class QueueRecord:
    """How many requests of one rank wait at one entry for a service."""

    entry: str
    service: str
    rank: int
    waiting: int
