"""Estimates of the work of plain requests by service."""

import collections
import statistics

# Number of recent answers whose median represents a service. A mean would be
# dominated by requests that waited at their target.
MAX_SAMPLES = 15


class WorkEstimator:
    """Median time of a plain request at a target of pace 1.0, by service.

    Waiting callers are told when to come back by it, and expected times are
    compared in shares of the objective, as response times are.

    >>> work = WorkEstimator()
    >>> work.record("s", seconds=0.09, pace=2.0, objective=0.2)
    >>> round(work.get_seconds("s"), 3), round(work.get_share("s"), 3)
    (0.045, 0.225)
    >>> work.get_seconds("other") is None
    True
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[tuple[float, float]]] = {}
        self._medians: dict[str, tuple[float, float]] = {}

    def record(
        self, service: str, seconds: float, pace: float, objective: float
    ) -> None:
        """Record a successful answer.

        :param service: name of the service
        :param seconds: time from the send to the end of the answer
        :param pace: pace of the target meanwhile
        :param objective: intended maximum of that time, in seconds
        """
        if seconds <= 0 or pace <= 0 or objective <= 0:
            return
        seen = self._samples.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        seen.append((seconds / pace, seconds / pace / objective))
        self._medians[service] = (
            statistics.median(sample[0] for sample in seen),
            statistics.median(sample[1] for sample in seen),
        )

    def get_seconds(self, service: str) -> float | None:
        """Return the work of a request, in seconds; ``None`` if unknown."""
        known = self._medians.get(service)
        return known[0] if known else None

    def get_share(self, service: str) -> float | None:
        """Return that as a share of the objective; ``None`` if unknown."""
        known = self._medians.get(service)
        return known[1] if known else None
