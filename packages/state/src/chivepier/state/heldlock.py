"""A lock that tells for how long it has been held."""

import asyncio

from chivepier.types import Clock


class HeldLock(asyncio.Lock):
    """Notes when it was taken.

    :param clock: monotonic clock
    """

    def __init__(self, clock: Clock):
        super().__init__()
        self._clock = clock
        self._taken_at = 0.0

    async def acquire(self) -> bool:
        """Take the lock."""
        await super().acquire()
        self._taken_at = self._clock.monotonic()
        return True

    def measure(self) -> float:
        """Return for how many seconds it has been held; 0: it is free."""
        if not self.locked():
            return 0.0
        return self._clock.monotonic() - self._taken_at
