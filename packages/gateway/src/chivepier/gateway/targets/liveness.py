"""The result of a liveness probe of a target."""

import enum


class Liveness(enum.Enum):
    """Whether a connection to a target's address showed it alive."""

    ENDED = "ended"
    LIVES = "lives"
    UNKNOWN = "unknown"
