"""How fast the targets of each service read prompts."""

import collections
import statistics

# First events that count. Their median stands for the service, as one that
# waited for memory takes many times as long a token.
MAX_SAMPLES = 9


class PrefillEstimator:
    """Median seconds a token, from a request's send to its first event.

    Targets read prompts in chunks between the steps of what runs there, so
    the pace follows their load; it is measured, not configured.
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._median: dict[str, float] = {}

    def record(self, service: str, tokens: int, seconds: float) -> None:
        """Note a first event.

        :param service: whose target it came from
        :param tokens: that were read there until then, from the send on
        :param seconds: since the send
        """
        if tokens <= 0 or seconds <= 0:
            return
        seen = self._samples.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        seen.append(seconds / tokens)
        self._median[service] = statistics.median(seen)

    def estimate(self, service: str, tokens: int) -> float:
        """Return how long tokens take to read, in seconds; 0 if unknown."""
        return tokens * self._median.get(service, 0.0)
