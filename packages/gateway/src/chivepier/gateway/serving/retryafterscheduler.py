"""Scheduling the retries of rejected callers."""

import random

# Lower bound of the rate, in requests per second, that delays are computed
# from.
MIN_REQUESTS_PER_SECOND = 0.2
# Maximum retry delay: by then the rate limits have changed, or the callers
# rejected before have given up.
MAX_DELAY_SECONDS = 20.0

# Callers that wait for the same time get a random extra delay of up to this
# fraction of it plus the minimum.
JITTER_FRACTION = 0.5
MIN_JITTER_SECONDS = 0.1
# Maximum share of the time left until a request's deadline: callers that are
# told to wait longer don't.
MAX_LEFT_SHARE = 1 / 3


class RetryAfterScheduler:
    """Spreads the retries of rejected callers over the available rate.

    With equal delays they would retry together, and all but one would be
    rejected again. Each entry schedules its own callers at its share of the
    rate, so the retries at all entries together arrive at the full rate.

    >>> retries = RetryAfterScheduler(random.Random(1))
    >>> [round(retries.schedule("s", 2.0, 1, 0.0), 1) for _ in range(3)]
    [0.5, 1.0, 1.5]

    :param rng: draws the jitter, and delays when the schedule is full
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next: dict[str, float] = {}

    def add_jitter(self, seconds: float) -> float:
        """Return a retry delay in seconds, with random jitter added.

        :param seconds: time until the first target accepts requests
        """
        max_jitter = MIN_JITTER_SECONDS + JITTER_FRACTION * seconds
        return seconds + self._rng.uniform(0.0, max_jitter)

    def spread(self, seconds: float, left: float) -> float:
        """Return a retry delay in seconds that leaves time for the retry.

        :param seconds: time until the request's turn
        :param left: time until its deadline, in seconds
        """
        delay, longest = self.add_jitter(seconds), MAX_LEFT_SHARE * left
        if delay <= longest:
            return delay
        return self._rng.uniform(0.5, 1.0) * max(0.0, longest)

    def schedule(
        self, service: str, rate: float, entries: int, now: float
    ) -> float:
        """Return the delay in seconds for the retry of one more caller.

        :param service: name of the service with rate-limited targets
        :param rate: sum of their rate limits, in requests per second
        :param entries: number of live entries, this one included
        :param now: current monotonic time in seconds
        """
        apart = max(1, entries) / max(rate, MIN_REQUESTS_PER_SECOND)
        retry_at = max(now, self._next.get(service, now)) + apart
        if retry_at - now > MAX_DELAY_SECONDS:
            return self._rng.uniform(MAX_DELAY_SECONDS / 2, MAX_DELAY_SECONDS)
        self._next[service] = retry_at
        return retry_at - now
