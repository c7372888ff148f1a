"""The QueueRecord message."""

from chivepier.messages.registry import message


@message(163)
class QueueRecord:
    """Requests of one rank that wait at one entry, or hold room, by service.

    The rank of those that hold room is their urgency. A record with a team
    is a part of the one without.
    """

    entry: str
    service: str
    rank: int
    waiting: int
    waiting_tokens: int = 0
    running: int = 0
    held_tokens: int = 0
    team: str = ""
