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
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._median: dict[str, float] = {}

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Record a first event.

        :param service: name of the service
        :param tokens: number of prompt tokens read there since the send
        :param seconds: time since the send, in seconds
        """
        if tokens <= 0 or seconds <= 0:
            return
        seen = self._samples.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        seen.append(seconds / tokens)
        self._median[service] = statistics.median(seen)

    def estimate(self, service: str, tokens: int) -> float:
        """Return the time to read tokens, in seconds; 0 if unknown."""
        return tokens * self._median.get(service, 0.0)
