"""The pace of loads from the weight store."""

import attrs

FASTEST = 0.6
SLOWEST = 30.0
BACKOFF = 2.0
RECOVERY = 0.9


@attrs.define
class LoadPace:
    """Spaces loads to what the weight store serves.

    The store refuses what is beyond its rate, and the refused loads come
    again: the pace halves when one was refused and recovers slowly.

    >>> pace = LoadPace()
    >>> pace.take(0.0), pace.take(0.5), pace.take(0.7)
    (True, False, True)
    >>> pace.slow_down()
    >>> pace.take(1.5), pace.take(2.0)
    (False, True)
    """

    interval: float = FASTEST
    _last: float = float("-inf")

    def take(self, now: float) -> bool:
        """Tell whether a load may start now, and count it.

        :param now: monotonic seconds
        """
        if now - self._last < self.interval:
            return False
        self._last = now
        return True

    def slow_down(self) -> None:
        """Note that the store refused."""
        self.interval = min(SLOWEST, self.interval * BACKOFF)

    def speed_up(self) -> None:
        """Note that a load was served."""
        self.interval = max(FASTEST, self.interval * RECOVERY)
