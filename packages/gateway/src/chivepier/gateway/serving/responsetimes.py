"""How long the whole answers of a route take."""

import collections
import math

# Number of recent answers that tell of the next one.
MAX_SAMPLES = 32
# Share of them that took no longer than the estimate: a refusal costs a round
# trip, an answer that is cut costs the request.
SHARE = 0.9
# Number of routes, the ones used last, of which it is kept.
MAX_ROUTES = 1000


class ResponseTimes:
    """Seconds from the send to the end of the answer, by route and service.

    >>> times = ResponseTimes()
    >>> for tenths in range(1, 11):
    ...     times.record("r", "s", tenths / 10)
    >>> times.estimate("r", "s"), times.estimate("r", "other")
    (0.9, None)
    """

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[
            tuple[str, str], collections.deque[float]
        ] = collections.OrderedDict()

    def record(self, route: str, service: str, seconds: float) -> None:
        """Record an answer that came whole from one target.

        :param route: name of the route
        :param service: name of the service
        :param seconds: how long it took
        """
        key = route, service
        if key not in self._samples:
            self._samples[key] = collections.deque(maxlen=MAX_SAMPLES)
        self._samples.move_to_end(key)
        self._samples[key].append(seconds)
        if len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def estimate(self, route: str, service: str) -> float | None:
        """Return how long most answers take; ``None`` if not known.

        :param route: name of the route
        :param service: name of the service
        """
        seen = sorted(self._samples.get((route, service), ()))
        return seen[math.ceil(SHARE * len(seen)) - 1] if seen else None
