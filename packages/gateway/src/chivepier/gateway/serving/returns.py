"""When callers that were refused may come back."""

import random

# Requests a second below which a rate says nothing of when to come back.
MIN_SENDS_PER_SECOND = 0.2
# Seconds after which callers are not told to come back any later: by then
# what targets take has changed, or those refused before have given up.
MOST_SECONDS = 20.0

# Share of a time, and seconds besides, over which callers are spread that wait
# for one moment.
SPREAD_SHARE = 0.5
LEAST_SPREAD_SECONDS = 0.1


class Returns:
    """Spreads callers that were refused over the rate that is left.

    All told the same, they would come back together, and all but one be
    refused again. Each entry spreads its own over its part of the rate; the
    moments of all entries then come at the rate itself.

    >>> returns = Returns(random.Random(1))
    >>> [round(returns.book("s", 2.0, 1, 0.0), 1) for _ in range(3)]
    [0.5, 1.0, 1.5]

    :param rng: draws where the last moments are taken
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next: dict[str, float] = {}

    def spread(self, seconds: float) -> float:
        """Return when one of many callers may come back.

        :param seconds: after which the first target is back
        """
        most = LEAST_SPREAD_SECONDS + SPREAD_SHARE * seconds
        return seconds + self._rng.uniform(0.0, most)

    def book(
        self, service: str, rate: float, entries: int, now: float
    ) -> float:
        """Return the seconds after which one more caller may come back.

        :param service: whose targets are in need
        :param rate: requests a second that they take together
        :param entries: that spread their callers, this one included
        :param now: monotonic seconds
        """
        apart = max(1, entries) / max(rate, MIN_SENDS_PER_SECOND)
        at = max(now, self._next.get(service, now)) + apart
        if at - now > MOST_SECONDS:
            return self._rng.uniform(MOST_SECONDS / 2, MOST_SECONDS)
        self._next[service] = at
        return at - now
