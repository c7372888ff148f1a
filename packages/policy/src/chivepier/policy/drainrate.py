"""How fast a queue drains."""

import math

MEMORY_SECONDS = 4.0


class DrainRate:
    """Departures a second, fading over :data:`MEMORY_SECONDS`.

    Only time in which something waits counts: an empty queue has no drain
    rate, it has arrivals.
    """

    __slots__ = ("_events", "_seconds", "_last")

    def __init__(self) -> None:
        self._events = 0.0
        self._seconds = 0.0
        self._last = -math.inf

    def tick(self, now: float, waiting: int) -> None:
        """Let time pass.

        :param now: the time, in seconds
        :param waiting: how many waited since the last call
        """
        passed = now - self._last
        self._last = now
        if not waiting or passed <= 0 or not math.isfinite(passed):
            return
        kept = math.exp(-passed / MEMORY_SECONDS)
        self._events *= kept
        self._seconds = self._seconds * kept + passed

    def count(self) -> None:
        """Note a departure."""
        self._events += 1.0

    def rate(self, default: float) -> float:
        """Return departures a second.

        :param default: what to lean on while little was seen
        """
        return (self._events + default) / (self._seconds + 1.0)
