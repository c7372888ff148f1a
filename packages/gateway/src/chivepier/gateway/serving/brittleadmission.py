"""Admission of requests to targets that bear few refusals."""

import collections.abc
import random

from chivepier.gateway.limits import BrittleTable
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import Target

# Seconds for which a draw holds that lets this entry send without a report:
# about what the first answers take, which bring one.
DRAW_SECONDS = 0.2

Count = collections.abc.Callable[[str], int]


class BrittleAdmission:
    """Sends a brittle target only what it has places for.

    Its waiting places are left free: it may let fewer wait than before, and
    what other entries send is known some hundredths of a second late.

    :param table: the brittle targets
    :param reports: what they report of their load
    :param count_own: returns the requests that this entry has at a target,
        with the one that is to be sent
    :param count_entries: returns the number of entries
    :param rng: draws which entries send without a report
    """

    def __init__(
        self,
        table: BrittleTable,
        reports: ReportBoard,
        count_own: Count,
        count_entries: collections.abc.Callable[[], int],
        rng: random.Random,
    ):
        self._table = table
        self._reports = reports
        self._count_own = count_own
        self._count_entries = count_entries
        self._rng = rng
        self._draws: dict[str, tuple[float, bool]] = {}

    def has_place(self, target: Target, now: float) -> bool:
        """Tell whether a request may be sent to a target.

        :param target: the target
        :param now: current time, in monotonic seconds
        """
        name, born = target.instance, target.born
        if not self._table:
            return True
        if self._table.find(target.service, name, now) is None:
            return True
        reading = self._reports.find(name, born)
        count = self._reports.count_requests(name, born, now)
        # one that has never reported may have as few as one place
        slots = 1 if reading is None else reading.load.slots
        if count is not None:
            return count <= slots
        entries = max(1, self._count_entries())
        if self._count_own(name) > max(1, slots // entries):
            return False
        return entries <= slots or self._draw(name, slots / entries, now)

    def _draw(self, name: str, share: float, now: float) -> bool:
        """Tell whether this entry is among a share of the entries now."""
        until, drawn = self._draws.get(name, (now, False))
        if now >= until:
            drawn = self._rng.random() < share
            self._draws[name] = (now + DRAW_SECONDS, drawn)
        return drawn
