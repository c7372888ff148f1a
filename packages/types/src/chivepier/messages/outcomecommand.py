"""The OutcomeCommand message."""

from chivepier.messages.outcome import Outcome
from chivepier.messages.registry import message


@message(46)
class OutcomeCommand:
    """The stored answer of a claimed request."""

    team: str
    key: str
    outcome: Outcome
