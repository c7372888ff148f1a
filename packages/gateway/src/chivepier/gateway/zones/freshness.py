"""Whether what an entry knows of operators' orders is recent."""

import collections.abc

from chivepier.types import Clock
from chivepier.types import Signal

# Seconds after the last word of a voter in which nothing is asked; only an
# entry that stood still, or is cut off, misses so many beats.
MAX_AGE_SECONDS = 1.5
# Seconds to wait for a word when there was none for longer; then the entry
# goes on with what it knows.
REPLY_TIMEOUT_SECONDS = 0.3


class Freshness:
    """Lets an entry ask before it sends, when it has long heard nothing.

    A frozen entry wakes with callers' requests in its sockets. Zones may have
    been evacuated meanwhile.

    :ivar ask: speaks to the voters at once

    :param clock: counts suspension too
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._heard = clock.monotonic()
        self._timed_out_at: float | None = None
        self._updated = Signal()
        self.request_update: collections.abc.Callable[[], None] = lambda: None

    def note_update(self) -> None:
        """Note that a voter has told what it knows."""
        self._heard = self._clock.monotonic()
        self._timed_out_at = None
        self._updated.set()

    @property
    def recent(self) -> bool:
        """Whether something may be sent without asking."""
        if self._timed_out_at is not None:
            return True
        return self._clock.monotonic() - self._heard <= MAX_AGE_SECONDS

    async def wait(self) -> None:
        """Return once a voter has spoken, or does not for too long."""
        if self.recent:
            return
        self.request_update()
        if not await self._updated.wait(REPLY_TIMEOUT_SECONDS):
            self._timed_out_at = self._clock.monotonic()
