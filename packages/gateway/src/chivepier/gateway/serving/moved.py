"""How copying a generation's memory went."""

import enum

import attrs


class MoveOutcome(enum.Enum):
    """What a source target answers to a copy."""

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    FAILED = "failed"


@attrs.frozen
class Moved:
    """The outcome, and the copy's name where there is one.

    :param outcome: whether the copy is complete
    :param handle: also set after a stop without room elsewhere: the source
        still keeps the memory
    """

    outcome: MoveOutcome
    handle: str = ""
