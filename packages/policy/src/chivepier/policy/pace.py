"""The number of streams with which a target keeps its token interval."""

import math

TARGET_INTERVAL = 0.034
LEAST_STREAMS = 4
SMOOTHING = 0.05
DEVIATIONS = 1.65
CUT = 0.93
PERIOD = 1.0


class Pace:
    """Learns a bound on streams from the token intervals that are seen.

    The interval grows with the batch.  While its 95th percentile, taken
    from mean and deviation, is over the target the bound falls by a part;
    while the bound is in use and the interval is under it, it rises by one.
    """

    __slots__ = ("limit", "_changed", "_mean", "_square")

    def __init__(self) -> None:
        self.limit = math.inf
        self._changed = 0.0
        self._mean = 0.0
        self._square = 0.0

    @property
    def mean(self) -> float:
        """Mean seconds between tokens; the target while none was seen."""
        return self._mean or TARGET_INTERVAL

    @property
    def interval(self) -> float:
        """Estimated 95th percentile of the seconds between tokens."""
        variance = max(0.0, self._square - self._mean * self._mean)
        return self._mean + DEVIATIONS * math.sqrt(variance)

    def see(self, interval: float, streams: int, now: float) -> None:
        """Take in the mean interval of one stream since its last report.

        :param interval: seconds between tokens
        :param streams: requests in flight at the target
        :param now: the time, in seconds
        """
        if not self._mean:
            self._mean, self._square = interval, interval * interval
        self._mean += SMOOTHING * (interval - self._mean)
        square = interval * interval
        self._square += SMOOTHING * (square - self._square)
        if now - self._changed < PERIOD:
            return
        self._changed = now
        if self.interval > TARGET_INTERVAL:
            self.limit = max(LEAST_STREAMS, min(self.limit, streams) * CUT)
        elif streams + 1 >= self.limit:
            self.limit += 1
