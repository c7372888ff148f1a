"""How the part of a stream that one target sent ended."""

import enum


class StreamEnd(enum.Enum):
    """Whether the answer of the target was complete or truncated."""

    COMPLETE = "whole"
    TRUNCATED = "cut"
