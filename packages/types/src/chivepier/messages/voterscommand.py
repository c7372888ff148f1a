"""The VotersCommand message."""

from chivepier.messages.registry import message
from chivepier.messages.voter import Voter


@message(44)
class VotersCommand:
    """The set of voters from this entry on."""

    voters: tuple[Voter, ...]
