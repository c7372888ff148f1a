"""A target's report that a voter relays."""

import collections.abc

import attrs

from chivepier.gateway.messages import TargetReport


@attrs.frozen
class HeldReport:
    """A target's newest report, as a voter holds it.

    :param report: the report as it arrived
    :param at: when the target made it, in monotonic seconds
    :param source: whoever sent it; ``None`` if it need not be told apart
    """

    report: TargetReport
    at: float
    source: collections.abc.Hashable = None

    def pack(self, now: float) -> TargetReport:
        """Return the report with its present age.

        :param now: current time, in monotonic seconds
        """
        # at least the age that it came with, whatever is lost in rounding
        age_ms = max(self.report.age_ms, round(1000 * (now - self.at)))
        return attrs.evolve(self.report, age_ms=age_ms)
