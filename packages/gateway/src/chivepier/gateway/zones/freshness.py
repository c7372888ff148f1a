"""Freshness of what an entry knows from the voters."""

import collections.abc

from chivepier.types import Clock
from chivepier.types import Signal

# Age up to which the last update from a voter counts as recent. Two heartbeats
# fit into it, and it is less than the time from a target's announcement that
# it is cold until its limit holds.
MAX_AGE_SECONDS = 0.75
# Time to wait for an update if the last one is older; afterwards the entry
# continues with what it knows.
REPLY_TIMEOUT_SECONDS = 0.3


class Freshness:
    """Delays sends until stale knowledge has been refreshed.

    An entry that resumes after suspension has pending requests in its sockets,
    and meanwhile zones may have been evacuated and targets have turned cold.

    :ivar request_update: requests an update from the voters at once

    :param clock: monotonic clock that also counts suspension
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._updated_at = clock.monotonic()
        self._timed_out_at: float | None = None
        self._updated = Signal()
        self.request_update: collections.abc.Callable[[], None] = lambda: None

    def note_update(self, requested_at: float | None = None) -> None:
        """Record an update from a voter.

        An answer may have waited in a socket while the entry was suspended.

        :param requested_at: when it was requested, in monotonic seconds; now
            by default
        """
        if requested_at is None:
            requested_at = self._clock.monotonic()
        self._updated_at = max(self._updated_at, requested_at)
        self._timed_out_at = None
        self._updated.set()

    @property
    def recent(self) -> bool:
        """Whether requests may be sent without waiting for an update."""
        if self._timed_out_at is not None:
            return True
        return self._clock.monotonic() - self._updated_at <= MAX_AGE_SECONDS

    async def wait(self) -> None:
        """Wait for an update if the last one is old, up to a timeout."""
        if self.recent:
            return
        self.request_update()
        end = self._clock.monotonic() + REPLY_TIMEOUT_SECONDS
        while not self.recent:
            left = end - self._clock.monotonic()
            if left <= 0.0 or not await self._updated.wait(left):
                self._timed_out_at = self._clock.monotonic()
