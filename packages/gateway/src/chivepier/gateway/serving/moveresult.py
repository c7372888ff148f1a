"""How copying a generation's memory went."""

import attrs

from chivepier.gateway.serving.moveoutcome import MoveOutcome


@attrs.frozen
class MoveResult:
    """The outcome, and the copy's name where there is one.

    :param outcome: whether the copy is complete
    :param handle: also set after a stop without room elsewhere: the source
        still keeps the memory
    """

    outcome: MoveOutcome
    handle: str = ""
