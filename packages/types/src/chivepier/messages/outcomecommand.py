"""The OutcomeCommand message."""

from chivepier.messages.outcome import Outcome
from chivepier.messages.registry import message


@message(46)
class OutcomeCommand:
    """The stored answer of a claimed request.

    ``request`` names the claim it ends; a claim of another is left alone.
    """

    team: str
    key: str
    request: str
    outcome: Outcome
