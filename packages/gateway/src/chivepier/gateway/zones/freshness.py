"""Freshness of the evacuation orders that an entry knows."""

import collections.abc

from chivepier.types import Clock
from chivepier.types import Signal

# Age up to which the last update from a voter counts as recent. Only an entry
# that was suspended or is partitioned misses so many heartbeats.
MAX_AGE_SECONDS = 1.5
# Time to wait for an update if the last one is older; afterwards the entry
# continues with the orders that it knows.
REPLY_TIMEOUT_SECONDS = 0.3


class Freshness:
    """Delays sends until stale evacuation orders have been refreshed.

    An entry that resumes after suspension has pending requests in its sockets,
    and zones may have been evacuated in the meantime.

    :ivar request_update: requests an update from the voters at once

    :param clock: monotonic clock that also counts suspension
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._updated_at = clock.monotonic()
        self._timed_out_at: float | None = None
        self._updated = Signal()
        self.request_update: collections.abc.Callable[[], None] = lambda: None

    def note_update(self) -> None:
        """Record an update from a voter."""
        self._updated_at = self._clock.monotonic()
        self._timed_out_at = None
        self._updated.set()

    @property
    def recent(self) -> bool:
        """Whether requests may be sent without waiting for an update."""
        if self._timed_out_at is not None:
            return True
        return self._clock.monotonic() - self._updated_at <= MAX_AGE_SECONDS

    async def wait(self) -> None:
        """Wait for an update if the orders are stale, up to a timeout."""
        if self.recent:
            return
        self.request_update()
        if not await self._updated.wait(REPLY_TIMEOUT_SECONDS):
            self._timed_out_at = self._clock.monotonic()
