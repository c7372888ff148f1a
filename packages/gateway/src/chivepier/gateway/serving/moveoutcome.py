"""Outcome of an order to copy the KV cache of a generation."""

import enum


class MoveOutcome(enum.Enum):
    """Whether a copy is complete, or the reason why it is not.

    ``NO_RUN``: the source no longer runs the request; ``BUSY``: another copy
    of it is in progress; ``NO_ROOM``: the destination is full or unreachable
    from the source; ``NOT_SENT``: no connection to the source; ``FAILED``: no
    answer from the source; ``HELD_BACK``: nothing may be sent to the source
    now.
    """

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    HELD_BACK = "held_back"
