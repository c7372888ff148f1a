"""Checks how often requests with a crashing part reach targets."""

import collections.abc
import time

import attrs

# Crashes from which on arrivals count, and the seconds after the last of
# these within which entries must hold the part back.
COUNTED_CRASHES = 5
PROPAGATION_SECONDS = 3.0
# Arrivals that are allowed after that.
MAX_LATE_ARRIVALS = 3


@attrs.define
class PartChecker:
    """Records crashes under one part, and arrivals of requests with it.

    :param part: identifier of the part
    :param is_excused: tells whether an entry had a fault after a time
    :param crashes: times at which targets crashed, in monotonic seconds
    :param late: number of arrivals that every entry should have held back
    """

    part: str
    is_excused: collections.abc.Callable[[str, float], bool]
    crashes: list[float] = attrs.field(factory=list)
    late: int = 0

    def is_in(self, parts: str) -> bool:
        """Tell whether a list of parts holds this one."""
        return self.part in [name.split(":")[0] for name in parts.split(",")]

    def record_arrival(self, entry: str | None) -> None:
        """Record a request with the part at a target.

        :param entry: address of the entry that sent it, if it is known
        """
        if len(self.crashes) < COUNTED_CRASHES or entry is None:
            return
        since = self.crashes[COUNTED_CRASHES - 1]
        if time.monotonic() < since + PROPAGATION_SECONDS:
            return
        if not self.is_excused(entry, since):
            self.late += 1

    def record_crash(self) -> None:
        """Record that a target crashed as it began to answer."""
        self.crashes.append(time.monotonic())

    def find_violations(self) -> list[str]:
        """Return what breaks the rule on parts that crash targets."""
        if self.late <= MAX_LATE_ARRIVALS:
            return []
        return [
            f"{self.late} requests with {self.part} sent late,"
            f" {len(self.crashes)} crashes"
        ]
