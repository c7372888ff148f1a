"""Stalls of a process, as of one that a busy machine lets run now and then."""

import random

import attrs


@attrs.define
class Stalls:
    """Draws when a process stands still, and for how long.

    :param seed: of the draws
    :param gap: mean seconds from one stall to the next
    :param most: longest stall in seconds
    :param total: seconds of all stalls so far
    """

    seed: int
    gap: float
    most: float
    total: float = 0.0
    _drawn: random.Random = attrs.field(init=False)
    _due: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._drawn = random.Random(self.seed)

    def find_delay(self, now: float) -> float:
        """Return the seconds for which the process stands still now.

        :param now: seconds played
        """
        if self._due is None:
            self._due = now + self._drawn.expovariate(1 / self.gap)
        if now < self._due:
            return 0.0
        seconds = self._drawn.uniform(0.0, self.most)
        self._due = now + seconds + self._drawn.expovariate(1 / self.gap)
        self.total += seconds
        return seconds
