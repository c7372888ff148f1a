"""Outcomes of a permit."""

import enum


class PermitOutcome(enum.IntEnum):
    """How the request under a permit ended, as its entry saw it."""

    FINISHED = 0
    NOT_RUN = 1
    CANCELLED = 2
    TARGET_FAILED = 3
