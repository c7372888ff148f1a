"""The clock of the running system."""

import asyncio
import datetime
import time

from chivepier.types.clock import Clock


class SystemClock(Clock):
    """The machine's monotonic and wall clocks."""

    def monotonic(self) -> float:
        """Return the machine's monotonic seconds."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the machine's UTC time."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, seconds: float) -> None:
        """Sleep in the running loop."""
        await asyncio.sleep(seconds)
