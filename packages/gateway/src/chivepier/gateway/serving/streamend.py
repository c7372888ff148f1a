"""How one target's part of a stream ended."""

import enum


class StreamEnd(enum.Enum):
    """Whether the target ended its answer or broke it off."""

    COMPLETE = "whole"
    TRUNCATED = "cut"
