"""Whether a target lives, as a look at it showed."""

import enum


class Liveness(enum.Enum):
    """What came of connecting to a target's address."""

    ENDED = "ended"
    LIVES = "lives"
    UNKNOWN = "unknown"
