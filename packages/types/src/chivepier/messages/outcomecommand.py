"""The OutcomeCommand message."""

from chivepier.messages.outcome import Outcome
from chivepier.messages.registry import message


@message(46)
class OutcomeCommand:
    """The stored answer of a claimed request.

    ``request`` is the claim's, so that a late duplicate can't settle a later
    claim of the same key; empty settles whichever claim there is.
    """

    team: str
    key: str
    outcome: Outcome
    request: str = ""
