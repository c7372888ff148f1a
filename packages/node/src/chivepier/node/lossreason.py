"""Why a reader of a generation was given up."""

import enum


class LossReason(enum.Enum):
    """What went wrong on a link to an engine; a label of the metrics."""

    STALLED = "stalled"
    CLOSED = "closed"
    CROSSED = "crossed"
    GAP = "gap"
    MALFORMED = "malformed"
    UNREACHABLE = "unreachable"
