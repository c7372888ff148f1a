"""What waits to be sent to one peer."""

import collections

from chivepier.types import Clock
from chivepier.wire.frame import Part

# Seconds after which a one-way message is no longer sent: peers ask again for
# what they miss, several times in this time.
MAX_MESSAGE_AGE_SECONDS = 2.0
# Seconds between two looks for such messages.
PURGE_INTERVAL_SECONDS = 0.5
# Parts that are encoded at a time, once for each peer.
MAX_BATCH_PARTS = 256


class Outbox:
    """Keeps the order of what is posted, and drops news that is old.

    A peer that is slower than its news would else be sent ever older ones,
    and all that waits would fill the memory. Questions and answers are kept:
    who asks waits for a bounded time and then asks no more.

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

    :param clock: by which news is old
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
        """Let a part wait behind the others.

        :param part: what :func:`pack_part` made
        :returns: how many older ones were dropped
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
        """Return the next parts, which wait no longer."""
        count = min(MAX_BATCH_PARTS, len(self._queue))
        return [self._queue.popleft()[1] for _ in range(count)]

    def clear(self) -> None:
        """Let nothing wait any more."""
        self._queue.clear()
