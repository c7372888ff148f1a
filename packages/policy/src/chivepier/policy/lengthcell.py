"""Counts of one kind of request."""

import array

from chivepier.policy.buckets import BUCKETS
from chivepier.policy.buckets import find_bucket

HALF_LIFE = 60.0
RESCALE = 1e6


class LengthCell:
    """Who entered each bucket of lengths, and who ended there.

    Requests in flight count as having passed the buckets behind them, so
    that short ones, which end first, don't make all look short (the
    estimate of Kaplan and Meier).  Old counts fade: after
    :data:`HALF_LIFE` ends they weigh half.
    """

    __slots__ = ("entered", "ended", "changes", "_weight")

    def __init__(self) -> None:
        self.entered = array.array("d", bytes(8 * BUCKETS))
        self.ended = array.array("d", bytes(8 * BUCKETS))
        self.changes = 0
        self._weight = 1.0

    @property
    def weight(self) -> float:
        """The weight of the next observation; older ones are less."""
        return self._weight

    def advance(self, first: int, last: int) -> None:
        """Count the buckets that were left behind, up to ``last``."""
        weight = self._weight
        entered = self.entered
        for bucket in range(first, last):
            entered[bucket] += weight
        self.changes += last - first

    def finish(self, tokens: int) -> None:
        """Count an end."""
        bucket = find_bucket(tokens)
        self.entered[bucket] += self._weight
        self.ended[bucket] += self._weight
        self.changes += 1
        self._weight *= 2 ** (1 / HALF_LIFE)
        if self._weight > RESCALE:
            self._rescale()

    def _rescale(self) -> None:
        for counts in (self.entered, self.ended):
            for bucket in range(BUCKETS):
                counts[bucket] /= self._weight
        self._weight = 1.0
