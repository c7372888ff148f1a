"""What a target says of its future."""

import enum


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
