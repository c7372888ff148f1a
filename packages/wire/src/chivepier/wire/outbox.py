"""What waits to be sent to one peer."""

import collections

from chivepier.types import Clock
from chivepier.wire.frame import Part

# Seconds after which a one-way message is no longer sent: peers ask again for
# what they miss, several times in this time.
NEWS_SECONDS = 2.0
# Seconds between two looks for such messages.
LOOK_SECONDS = 0.5
# Parts that are encoded at a time, once for each peer.
MOST_PARTS = 256


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
        self._waiting: collections.deque[tuple[float, tuple]] = (
            collections.deque()
        )
        self._looked = clock.monotonic()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, part: tuple) -> int:
        """Let a part wait behind the others.

        :param part: what :func:`pack_part` made
        :returns: how many older ones were dropped
        """
        now = self._clock.monotonic()
        dropped = 0
        if now - self._looked >= LOOK_SECONDS:
            self._looked = now
            dropped = self._drop_old(now)
        self._waiting.append((now, part))
        return dropped

    def _drop_old(self, now: float) -> int:
        if not self._waiting or now - self._waiting[0][0] <= NEWS_SECONDS:
            return 0
        kept = collections.deque(
            (since, part)
            for since, part in self._waiting
            if part[0] != Part.SEND or now - since <= NEWS_SECONDS
        )
        dropped = len(self._waiting) - len(kept)
        self._waiting = kept
        return dropped

    def take(self) -> list[tuple]:
        """Return the next parts, which wait no longer."""
        count = min(MOST_PARTS, len(self._waiting))
        return [self._waiting.popleft()[1] for _ in range(count)]

    def clear(self) -> None:
        """Let nothing wait any more."""
        self._waiting.clear()
