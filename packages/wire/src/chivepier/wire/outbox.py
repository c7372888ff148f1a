"""Queue of outgoing messages to one peer."""

import collections

from chivepier.types import Clock
from chivepier.wire.frame import Part

# Seconds after which a queued one-way message expires: peers request missing
# data again several times within this time.
MAX_MESSAGE_AGE_SECONDS = 2.0
# Seconds between two searches for expired messages.
PURGE_INTERVAL_SECONDS = 0.5
# Parts that are encoded at a time: encoding a long queue for each of hundreds
# of peers at once would block the event loop.
MAX_BATCH_PARTS = 256


class Outbox:
    """Queues parts in order, and drops one-way messages that are too old.

    Without this, a peer that reads too slowly would get ever older messages,
    and its queue would fill the memory. Requests and answers never expire:
    their number is bounded, as each requester stops at its timeout.

    >>> from chivepier.types import ManualClock
    >>> clock = ManualClock()
    >>> box = Outbox(clock)
    >>> box.add((int(Part.SEND), 0, 7, ()))
    0
    >>> clock.advance(3.0)
    >>> box.add((int(Part.REQUEST), 1, 8, ()))
    1
    >>> box.take()
    [(1, 1, 8, ())]

    :param clock: measures the age of queued messages
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._queue: collections.deque[tuple[float, tuple]] = (
            collections.deque()
        )
        self._last_purged = clock.monotonic()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, part: tuple) -> int:
        """Append a part to the queue.

        :param part: a part built by :func:`pack_part`
        :returns: number of expired messages that were dropped
        """
        now = self._clock.monotonic()
        dropped = 0
        if now - self._last_purged >= PURGE_INTERVAL_SECONDS:
            self._last_purged = now
            dropped = self._drop_expired(now)
        self._queue.append((now, part))
        return dropped

    def _drop_expired(self, now: float) -> int:
        if (
            not self._queue
            or now - self._queue[0][0] <= MAX_MESSAGE_AGE_SECONDS
        ):
            return 0
        remaining = collections.deque(
            (since, part)
            for since, part in self._queue
            if part[0] != Part.SEND or now - since <= MAX_MESSAGE_AGE_SECONDS
        )
        dropped = len(self._queue) - len(remaining)
        self._queue = remaining
        return dropped

    def take(self) -> list[tuple]:
        """Remove and return the next parts to send."""
        count = min(MAX_BATCH_PARTS, len(self._queue))
        return [self._queue.popleft()[1] for _ in range(count)]

    def clear(self) -> None:
        """Remove all queued parts."""
        self._queue.clear()
