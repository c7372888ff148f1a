"""A clock that runs faster or slower than another."""

import datetime

from chivepier.types import Clock


class RatedClock(Clock):
    """One instance's view of a common clock.

    >>> from chivepier.types import ManualClock
    >>> base = ManualClock()
    >>> base.advance(10.0)
    >>> RatedClock(base, 1.25).monotonic()
    12.5

    :param base: the common clock
    :param rate: seconds here per second there
    """

    def __init__(self, base: Clock, rate: float):
        self._base = base
        self._rate = rate

    def monotonic(self) -> float:
        """Return the common time at this clock's rate."""
        return self._base.monotonic() * self._rate

    def now(self) -> datetime.datetime:
        """Return the common wall clock's time."""
        return self._base.now()

    async def sleep(self, seconds: float) -> None:
        """Wait for seconds of this clock."""
        await self._base.sleep(seconds / self._rate)
