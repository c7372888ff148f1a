"""Whether what an entry knows of operators' orders is recent."""

import collections.abc

from chivepier.types import Clock
from chivepier.types import Signal

# Seconds after the last word of a voter in which nothing is asked; only an
# entry that stood still, or is cut off, misses so many beats.
RECENT_SECONDS = 1.5
# Seconds to wait for a word when there was none for longer; then the entry
# goes on with what it knows.
ASK_SECONDS = 0.3


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
        self._asked: float | None = None
        self._word = Signal()
        self.ask: collections.abc.Callable[[], None] = lambda: None

    def note_word(self) -> None:
        """Note that a voter has told what it knows."""
        self._heard = self._clock.monotonic()
        self._asked = None
        self._word.set()

    @property
    def recent(self) -> bool:
        """Whether something may be sent without asking."""
        if self._asked is not None:
            return True
        return self._clock.monotonic() - self._heard <= RECENT_SECONDS

    async def wait(self) -> None:
        """Return once a voter has spoken, or does not for too long."""
        if self.recent:
            return
        self.ask()
        if not await self._word.wait(ASK_SECONDS):
            self._asked = self._clock.monotonic()
