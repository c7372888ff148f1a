"""How steadily a stream reaches its caller."""

import collections.abc


class StreamPace:
    """Measures the time to the first event and the longest pause after it.

    :param arrived: when the request came, in monotonic seconds
    :param read_time: returns monotonic seconds
    """

    def __init__(
        self, arrived: float, read_time: collections.abc.Callable[[], float]
    ):
        self._arrived = arrived
        self._read_time = read_time
        self._last: float | None = None
        self._writes = 0
        self.first = 0.0
        self.gap = 0.0
        self.gap_at = 0

    def note(self) -> None:
        """Note that events are passed on now."""
        now = self._read_time()
        if self._last is None:
            self.first = now - self._arrived
        elif now - self._last > self.gap:
            self.gap = now - self._last
            self.gap_at = self._writes
        self._last = now
        self._writes += 1
