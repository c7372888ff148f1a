"""What the events of a stream are known by."""

import enum


class SeriesKind(enum.Enum):
    """What the events of a stream are known by."""

    # nothing has come yet
    UNKNOWN = "unknown"
    NUMBERED = "numbered"
    # nobody can tell which of them a caller has: it goes on nowhere
    UNNUMBERED = "unnumbered"
    # the body of one answer that is no series of events
    OTHER = "other"
