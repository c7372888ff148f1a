"""A target's newest report and when it was made."""

import attrs

from chivepier.gateway.targets.reportedload import ReportedLoad


@attrs.frozen
class Reading:
    """The newest report of one incarnation of a target.

    :param load: what the target reported
    :param at: when it did, in monotonic seconds of this process
    """

    load: ReportedLoad
    at: float
