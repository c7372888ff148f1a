"""Why a voter is removed, or none is."""

import enum


class RemovalReason(enum.Enum):
    """What a removal of a voter is decided by."""

    ALL_ANSWER = "all_answer"
    TOO_FEW = "too_few"
    WAITS = "waits"
    BEARS_LESS = "bears_less"
    SPARE = "spare"
    UNREACHABLE = "unreachable"
