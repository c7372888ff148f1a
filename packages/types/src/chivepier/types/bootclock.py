"""A clock that counts the time a machine is suspended."""

import time

from chivepier.types.systemclock import SystemClock


class BootClock(SystemClock):
    """The machine's clocks, monotonic through suspension.

    The plain monotonic clock stands still while a machine is suspended: a
    lease measured on it would outlive itself, and two nodes could both
    believe they lead. Needs an operating system that has such a clock.

    >>> BootClock().monotonic() > 0
    True
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
