"""A clock that moves when told."""

import asyncio
import datetime
import heapq
import itertools

from chivepier.types.clock import Clock

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock(Clock):
    """Time for tests and benchmarks: it stands still between advances.

    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(self) -> None:
        self._seconds = 0.0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._seconds

    def now(self) -> datetime.datetime:
        """Return a fixed epoch plus the seconds advanced."""
        return EPOCH + datetime.timedelta(seconds=self._seconds)

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has been advanced far enough."""
        future = asyncio.get_running_loop().create_future()
        due = self._seconds + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), future))
        await future

    def advance(self, seconds: float) -> None:
        """Move time on and wake the sleepers whose time has come.

        :param seconds: how far to move
        """
        self._seconds += seconds
        while self._sleepers and self._sleepers[0][0] <= self._seconds:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
