"""Baseline: the least load that the targets report."""

from chivepier.policy.benchmarks.queueing import Queueing
from chivepier.policy.targetview import TargetView


class LeastLoad(Queueing):
    """The target whose own, lagged report shows the least memory in use."""

    def choose(self, able: list[TargetView]) -> TargetView | None:
        """Trust the reports, and the stream limit."""
        best = min(able, key=lambda v: (v.waiting, v.used_tokens, v.running))
        if self.counts[best.target] >= best.max_streams:
            return None
        return best
