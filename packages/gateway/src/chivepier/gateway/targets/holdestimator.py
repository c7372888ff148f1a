"""How long generations hold their room."""

import collections

# Number of recent generations that the estimate is made of.
MAX_SAMPLES = 32
# Minimum number of them: a few say little of a mix of short and long ones.
MIN_SAMPLES = 8
# Age in seconds after which one no longer counts: the mix may have changed.
MAX_AGE_SECONDS = 120.0


class HoldEstimator:
    """Mean seconds that a token of a service's memory is held.

    Weighted by tokens: what all generations hold now, over this time, is the
    rate at which memory becomes free.

    >>> holds = HoldEstimator()
    >>> for _ in range(8):
    ...     holds.record("s", 3_000, 8.0, 0.0)
    ...     holds.record("s", 1_000, 4.0, 0.0)
    >>> holds.estimate("s", 1.0)
    7.0
    >>> holds.estimate("s", 200.0) is None
    True
    """

    def __init__(self) -> None:
        self._samples: dict[
            str, collections.deque[tuple[int, float, float]]
        ] = {}

    def record(
        self, service: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Record a generation that has ended.

        :param service: name of the service
        :param tokens: room that it held, in tokens
        :param seconds: for how long
        :param now: current monotonic time, in seconds
        """
        if tokens > 0 and seconds > 0.0:
            samples = self._samples.setdefault(
                service, collections.deque(maxlen=MAX_SAMPLES)
            )
            samples.append((tokens, seconds, now))

    def estimate(self, service: str, now: float) -> float | None:
        """Return the mean in seconds; ``None`` if too little is known.

        :param service: name of the service
        :param now: current monotonic time, in seconds
        """
        recent = [
            (tokens, seconds)
            for tokens, seconds, at in self._samples.get(service, ())
            if now - at < MAX_AGE_SECONDS
        ]
        if len(recent) < MIN_SAMPLES:
            return None
        total = sum(tokens for tokens, _ in recent)
        return sum(tokens * seconds for tokens, seconds in recent) / total
