"""The VoterState message."""

from chivepier.messages.registry import message


@message(76)
class VoterState:
    """What a voter holds; ``holds``: all that is committed, and it answers."""

    node: str
    address: str
    index: int
    holds: bool
