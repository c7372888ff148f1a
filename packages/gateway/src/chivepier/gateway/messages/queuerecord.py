"""The QueueRecord message."""

from chivepier.messages.registry import message


@message(163)
class QueueRecord:
    """Number of requests of one rank that wait at one entry for a service."""

    entry: str
    service: str
    rank: int
    waiting: int
