"""Baseline: one target after the other."""

from chivepier.policy.benchmarks.queueing import Queueing
from chivepier.policy.targetview import TargetView


class RoundRobin(Queueing):
    """The next target whose stream limit isn't reached."""

    def __init__(self, clock, permits):
        super().__init__(clock, permits)
        self._next = 0

    def choose(self, able: list[TargetView]) -> TargetView | None:
        """Take turns."""
        for _ in able:
            self._next += 1
            view = able[self._next % len(able)]
            if self.counts[view.target] < view.max_streams:
                return view
        return None
