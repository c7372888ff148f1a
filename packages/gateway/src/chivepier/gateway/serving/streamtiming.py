"""Timing of the events that reach a caller."""

import collections.abc


class StreamTiming:
    """Measures the time to the first event and the longest gap after it.

    ``max_gap_index`` counts the writes before the longest gap.

    :param arrived: when the request arrived, in monotonic seconds
    :param read_time: returns the current time in monotonic seconds
    """

    def __init__(
        self, arrived: float, read_time: collections.abc.Callable[[], float]
    ):
        self._arrived = arrived
        self._read_time = read_time
        self._last: float | None = None
        self._writes = 0
        self.first_seconds = 0.0
        self.max_gap = 0.0
        self.max_gap_index = 0

    def record_write(self) -> None:
        """Record that events are written to the caller now."""
        now = self._read_time()
        if self._last is None:
            self.first_seconds = now - self._arrived
        elif now - self._last > self.max_gap:
            self.max_gap = now - self._last
            self.max_gap_index = self._writes
        self._last = now
        self._writes += 1
