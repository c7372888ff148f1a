"""The announced state of a target."""

import enum


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
