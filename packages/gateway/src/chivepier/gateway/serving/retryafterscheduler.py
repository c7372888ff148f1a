"""When callers that were refused may come back."""

import random

# Requests a second below which a rate says nothing of when to come back.
MIN_REQUESTS_PER_SECOND = 0.2
# Seconds after which callers are not told to come back any later: by then
# what targets take has changed, or those refused before have given up.
MAX_DELAY_SECONDS = 20.0

# Share of a time, and seconds besides, over which callers are spread that wait
# for one moment.
JITTER_FRACTION = 0.5
MIN_JITTER_SECONDS = 0.1


class RetryAfterScheduler:
    """Spreads callers that were refused over the rate that is left.

    All told the same, they would come back together, and all but one be
    refused again. Each entry spreads its own over its part of the rate; the
    moments of all entries then come at the rate itself.

    >>> retries = RetryAfterScheduler(random.Random(1))
    >>> [round(retries.schedule("s", 2.0, 1, 0.0), 1) for _ in range(3)]
    [0.5, 1.0, 1.5]

    :param rng: draws where the last moments are taken
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next: dict[str, float] = {}

    def add_jitter(self, seconds: float) -> float:
        """Return when one of many callers may come back.

        :param seconds: after which the first target is back
        """
        most = MIN_JITTER_SECONDS + JITTER_FRACTION * seconds
        return seconds + self._rng.uniform(0.0, most)

    def schedule(
        self, service: str, rate: float, entries: int, now: float
    ) -> float:
        """Return the seconds after which one more caller may come back.

        :param service: whose targets are in need
        :param rate: requests a second that they take together
        :param entries: that spread their callers, this one included
        :param now: monotonic seconds
        """
        apart = max(1, entries) / max(rate, MIN_REQUESTS_PER_SECOND)
        retry_at = max(now, self._next.get(service, now)) + apart
        if retry_at - now > MAX_DELAY_SECONDS:
            return self._rng.uniform(MAX_DELAY_SECONDS / 2, MAX_DELAY_SECONDS)
        self._next[service] = retry_at
        return retry_at - now
