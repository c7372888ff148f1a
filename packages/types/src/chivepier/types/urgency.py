"""Urgency classes."""

import enum


class Urgency(enum.IntEnum):
    """How soon an answer is needed; a larger value is served earlier."""

    BATCH = 0
    NORMAL = 1
    URGENT = 2
