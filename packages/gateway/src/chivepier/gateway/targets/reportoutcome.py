"""What became of a report that another process sent."""

import enum


class ReportOutcome(enum.Enum):
    """What became of a report of a target that another process sent."""

    NEW = "new"
    OUTDATED = "outdated"
    INVALID = "invalid"
