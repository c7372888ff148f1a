"""The VotersAnswer message."""

from chivepier.messages.registry import message
from chivepier.messages.voterstate import VoterState


@message(71)
class VotersAnswer:
    """``error`` is an error kind's value, empty on success."""

    error: str
    message: str
    repaired: bool
    voters: tuple[VoterState, ...]
