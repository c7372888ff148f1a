"""Rules for retrying requests."""

import enum


class Repetition(enum.Enum):
    """Whether a request with an unknown outcome is retried or resumed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"
