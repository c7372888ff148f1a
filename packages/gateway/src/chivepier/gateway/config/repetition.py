"""Whether a request may run more than once."""

import enum


class Repetition(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"
