"""Average of a quantity over the last seconds."""

import math

# Time constant of the average: about as long as a long generation holds its
# room, which is how far ahead room has to be kept.
AVERAGE_SECONDS = 10.0


class UsageAverage:
    """Average of a value that was sampled at irregular times.

    Recent values count most. From the first samples on it is an average of
    what was seen, so that an entry that has just started isn't far off.

    >>> average = UsageAverage()
    >>> average.sample(100.0, 0.0)
    >>> average.sample(100.0, 1.0)
    >>> round(average.value)
    100
    >>> average.sample(0.0, 60.0)
    >>> average.sample(0.0, 120.0)
    >>> round(average.value)
    0
    """

    def __init__(self) -> None:
        self._sum = self._weight = 0.0
        self._last: tuple[float, float] | None = None

    def sample(self, value: float, now: float) -> None:
        """Note the present value.

        :param value: the value, from now on
        :param now: current monotonic time, in seconds
        """
        if self._last is not None:
            before, since = self._last
            kept = math.exp(min(0.0, since - now) / AVERAGE_SECONDS)
            self._sum = self._sum * kept + before * (1.0 - kept)
            self._weight = self._weight * kept + 1.0 - kept
        self._last = value, now

    @property
    def value(self) -> float:
        """The average; the first sample until there is a second one."""
        if self._weight > 0.0:
            return self._sum / self._weight
        return self._last[0] if self._last is not None else 0.0
