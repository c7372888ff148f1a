"""Baseline: a fixed number of streams at each target."""

from chivepier.policy.benchmarks.queueing import Queueing
from chivepier.policy.targetview import TargetView


class FixedLimit(Queueing):
    """The target with the fewest streams in flight, up to a fixed limit."""

    limit = 1

    @classmethod
    def of(cls, limit: int):
        """Return the policy's factory for a limit.

        :param limit: streams at each target
        """

        def make(clock, permits):
            policy = cls(clock, permits)
            policy.limit = limit
            return policy

        return make

    def choose(self, able: list[TargetView]) -> TargetView | None:
        """Count what this policy granted itself."""
        best = min(able, key=lambda v: self.counts[v.target])
        if self.counts[best.target] >= min(self.limit, best.max_streams):
            return None
        return best
