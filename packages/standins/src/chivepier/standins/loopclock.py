"""The clock of an event loop, whose time may be played."""

import asyncio
import datetime

from chivepier.types import Clock

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class LoopClock(Clock):
    """Tells the running loop's time.

    >>> async def tell():
    ...     return LoopClock().now() - EPOCH
    >>> from chivepier.standins.playedloop import play_time
    >>> play_time(tell())
    datetime.timedelta(seconds=1000)
    """

    def monotonic(self) -> float:
        """Return the loop's seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        """Return a fixed epoch plus the loop's seconds."""
        return EPOCH + datetime.timedelta(seconds=self.monotonic())

    async def sleep(self, seconds: float) -> None:
        """Sleep in the running loop."""
        await asyncio.sleep(seconds)


def tell_time() -> float:
    """Return the running loop's seconds."""
    return LoopClock().monotonic()
