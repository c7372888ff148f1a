"""How one target's part of a stream ended."""

import enum


class StreamEnd(enum.Enum):
    """What stopped the reading.

    ``INTERRUPTED``: the target goes on, but there is a copy to go on from.
    """

    WHOLE = "whole"
    CUT = "cut"
    INTERRUPTED = "interrupted"
