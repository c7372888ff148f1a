"""The permits that the leader has granted to cold targets."""

from chivepier.gateway.permits.permit import MAX_PERMIT_SECONDS
from chivepier.gateway.permits.permit import PERMIT_SECONDS

# Seconds in which a connection to a target must be established; otherwise the
# send is abandoned.
CONNECT_SECONDS = 0.5
# Window in which at most the sends of one second are permitted. All requests
# that arrive within one second were permitted within this window, even if a
# process stalled or the leader changed.
WINDOW_SECONDS = 1.0 + PERMIT_SECONDS + CONNECT_SECONDS
# The window for permits of unknown lifetime.
MAX_WINDOW_SECONDS = 1.0 + MAX_PERMIT_SECONDS + CONNECT_SECONDS


class SlidingWindowLimiter:
    """Counts each target's permits until their sends leave the window.

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
        max_sends: int,
        now: float,
        permit_seconds: float = PERMIT_SECONDS,
    ) -> bool:
        """Permit one send if the window of the target is not full.

        :param instance: name of the target
        :param max_sends: maximum sends to the target within one second
        :param now: current monotonic time, in seconds
        :param permit_seconds: lifetime of the permit, in seconds
        """
        self._expire(now)
        granted = self._granted.setdefault(instance, [])
        if len(granted) >= max_sends:
            return False
        granted.append(now + 1.0 + permit_seconds + CONNECT_SECONDS)
        return True

    def count_targets(self) -> int:
        """Return the number of targets with permits in the window."""
        return len(self._granted)

    def _expire(self, now: float) -> None:
        # few targets are cold at the same time
        for instance, granted in list(self._granted.items()):
            left = [over for over in granted if now < over]
            if left:
                self._granted[instance] = left
            else:
                del self._granted[instance]
