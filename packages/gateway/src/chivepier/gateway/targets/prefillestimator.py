"""Estimates of prefill time by service."""

import collections
import statistics

# Number of recent first events whose median represents a service. A mean would
# be dominated by requests that waited for memory.
MAX_SAMPLES = 9


class PrefillEstimator:
    """Median seconds per prompt token, from send to first event.

    Targets read prompts in chunks between the decoding steps of running
    generations. Prefill speed depends on their load, so it is measured.
    Samples are kept in units of pace 1.0, so that one target tells of another
    that is faster or slower.

    >>> estimator = PrefillEstimator()
    >>> estimator.record("s", 100, 1.0, pace=2.0)
    >>> estimator.estimate("s", 100), estimator.estimate("s", 100, pace=4.0)
    (0.5, 2.0)
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._median: dict[str, float] = {}

    def record(
        self, service: str, tokens: int, seconds: float, pace: float = 1.0
    ) -> None:
        """Record a first event.

        :param service: name of the service
        :param tokens: number of prompt tokens read there since the send
        :param seconds: time since the send, in seconds
        :param pace: pace of the target; 1.0 if unknown
        """
        if tokens <= 0 or seconds <= 0:
            return
        seen = self._samples.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        seen.append(seconds / tokens / pace)
        self._median[service] = statistics.median(seen)

    def estimate(self, service: str, tokens: int, pace: float = 1.0) -> float:
        """Return the time to read tokens, in seconds; 0 if unknown.

        :param service: name of the service
        :param tokens: number of prompt tokens
        :param pace: pace of the target; 1.0 if unknown
        """
        return tokens * self._median.get(service, 0.0) * pace
