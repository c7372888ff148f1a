"""What a source target answers to a copy."""

import enum


class MoveOutcome(enum.Enum):
    """Whether a copy is complete, and why it is not.

    ``NO_RUN``: the source runs no such request any more; ``BUSY``: another
    copy of it is under way; ``NO_ROOM``: the destination is full or can't be
    reached from the source; ``NOT_SENT``: no connection to the source stood;
    ``FAILED``: no answer came; ``HELD_BACK``: the source must not be sent
    anything now.
    """

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    HELD_BACK = "held_back"
