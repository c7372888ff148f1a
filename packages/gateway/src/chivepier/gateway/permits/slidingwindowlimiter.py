"""What one voter has permitted as the leader."""

from chivepier.gateway.permits.permit import MAX_PERMIT_SECONDS
from chivepier.gateway.permits.permit import PERMIT_SECONDS

# Seconds for a connection to a target to stand; a send that waits for longer
# is given up.
CONNECT_SECONDS = 0.5
# Seconds in which no more than one second's bound is permitted: what arrives
# in one second was permitted within this time, whoever stood still or led.
WINDOW_SECONDS = 1.0 + PERMIT_SECONDS + CONNECT_SECONDS
# The same for permits of which nothing is known.
MAX_WINDOW_SECONDS = 1.0 + MAX_PERMIT_SECONDS + CONNECT_SECONDS


class SlidingWindowLimiter:
    """Counts permits by target until no second holds their sends any more.

    >>> limiter = SlidingWindowLimiter()
    >>> [limiter.acquire("i1", 2, now) for now in (0.0, 0.1, 0.2)]
    [True, True, False]
    >>> limiter.acquire("i1", 2, 0.1 + WINDOW_SECONDS)
    True
    """

    def __init__(self) -> None:
        self._granted: dict[str, list[float]] = {}

    def acquire(
        self,
        instance: str,
        most: int,
        now: float,
        lapse: float = PERMIT_SECONDS,
    ) -> bool:
        """Permit one send, if the window has room for it.

        :param instance: the target's
        :param most: sends that it bears within a second
        :param now: monotonic seconds
        :param lapse: seconds in which it may be used
        """
        self._expire(now)
        granted = self._granted.setdefault(instance, [])
        if len(granted) >= most:
            return False
        granted.append(now + 1.0 + lapse + CONNECT_SECONDS)
        return True

    def count_targets(self) -> int:
        """Return of how many targets anything is kept."""
        return len(self._granted)

    def _expire(self, now: float) -> None:
        # cold targets are few at a time
        for instance, granted in list(self._granted.items()):
            left = [over for over in granted if now < over]
            if left:
                self._granted[instance] = left
            else:
                del self._granted[instance]
