"""The newest reports of targets about their own load."""

import collections.abc
import math

import attrs

from chivepier.gateway.targets.reading import Reading
from chivepier.gateway.targets.reportedload import ReportedLoad
from chivepier.gateway.targets.target import Target
from chivepier.types import Signal

# Seconds after which a reported pace says nothing of the present: the work of
# others on the target's machine changes several times a second.
PACE_LIFETIME_SECONDS = 0.2
# Seconds after which reported counts of requests say nothing of the present.
COUNTS_LIFETIME_SECONDS = 1.0
# Seconds within which the highest pace of a target counts as its peak.
PEAK_SECONDS = 10.0
# Paces beyond these are errors of the reporting target, not of use.
MIN_PACE = 0.05
MAX_PACE = 50.0


@attrs.define
class _Record:
    reading: Reading
    lowest: float = math.inf
    highest: float = 0.0
    highest_at: float = -math.inf
    own_starts: int = 0


class ReportBoard:
    """Keeps what each incarnation of a target last reported.

    Reports are out of date when they arrive: a choice counts on top what this
    entry has sent since, and trusts a pace for a fraction of a second only.
    ``changed`` is set by each report that is stored.

    >>> board = ReportBoard()
    >>> report = ReportedLoad(running=2, waiting=0, slots=6, pace=1.7)
    >>> board.record("t", 1, report, now=5.0)
    True
    >>> board.get_base_pace("t", 1), board.get_pace("t", 1, now=5.1)
    (1.7, 1.7)
    >>> board.record("t", 1, report, now=4.0)
    False
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[int, _Record]] = {}
        self.changed = Signal()

    def record(
        self, instance: str, born: int, load: ReportedLoad, now: float
    ) -> bool:
        """Store a report.

        :param instance: name of the target
        :param born: start of the incarnation that reported, in Unix
            milliseconds
        :param load: its report
        :param now: when it was made, in monotonic seconds
        :returns: whether it is newer than the one that was known
        """
        known = self._records.get(instance)
        if known is not None:
            if born < known[0]:
                return False
            if born == known[0] and now <= known[1].reading.at:
                self._note_pace(known[1], load.pace, now)
                return False
        reading = Reading(load, now)
        if known is None or born > known[0]:
            record = _Record(reading)
            self._records[instance] = (born, record)
        else:
            record = known[1]
            record.reading = reading
            record.own_starts = 0
        self._note_pace(record, load.pace, now)
        self.changed.set()
        return True

    def note_start(self, instance: str) -> None:
        """Count a request that this entry sends after the last report."""
        known = self._records.get(instance)
        if known is not None:
            known[1].own_starts += 1

    def find(self, instance: str, born: int) -> Reading | None:
        """Return the newest report of an incarnation."""
        record = self._find_record(instance, born)
        return record.reading if record else None

    def count_requests(
        self, instance: str, born: int, now: float
    ) -> int | None:
        """Return how many requests an incarnation has, running or waiting.

        :returns: the reported count and what this entry sent since; ``None``
            if the last report is too old
        """
        record = self._find_record(instance, born)
        if record is None:
            return None
        if now - record.reading.at > COUNTS_LIFETIME_SECONDS:
            return None
        load = record.reading.load
        return load.running + load.waiting + record.own_starts

    def get_pace(self, instance: str, born: int, now: float) -> float:
        """Return the expected pace; 1.0 if the target never reported one.

        It fades from the reported pace to the lowest one that the
        incarnation reported.
        """
        record = self._find_record(instance, born)
        if record is None or not math.isfinite(record.lowest):
            return 1.0
        pace = record.reading.load.pace
        if pace is None:
            return record.lowest
        age = max(0.0, now - record.reading.at)
        weight = max(0.0, 1.0 - age / PACE_LIFETIME_SECONDS)
        if age <= PACE_LIFETIME_SECONDS / 2:
            weight = 1.0
        return record.lowest + weight * (pace - record.lowest)

    def get_base_pace(self, instance: str, born: int) -> float | None:
        """Return an incarnation's pace without the work of others.

        :returns: the lowest pace that it reported; ``None`` if it never did
        """
        record = self._find_record(instance, born)
        if record is None or not math.isfinite(record.lowest):
            return None
        return record.lowest

    def get_peak_ratio(
        self, targets: collections.abc.Iterable[Target], now: float
    ) -> float:
        """Return how much slower targets get at times than they can be.

        :param targets: the targets of one service
        :param now: current time, in monotonic seconds
        :returns: the highest recent pace of any target over its lowest, at
            least 1.0
        """
        ratio = 1.0
        for target in targets:
            record = self._find_record(target.instance, target.born)
            if record is None or not math.isfinite(record.lowest):
                continue
            if now - record.highest_at <= PEAK_SECONDS:
                ratio = max(ratio, record.highest / record.lowest)
        return ratio

    def forget(self, instance: str, born: int) -> None:
        """Drop the reports of an incarnation that has ended."""
        known = self._records.get(instance)
        if known is not None and known[0] <= born:
            del self._records[instance]

    def _find_record(self, instance: str, born: int) -> _Record | None:
        known = self._records.get(instance)
        if known is None or known[0] != born:
            return None
        return known[1]

    def _note_pace(
        self, record: _Record, pace: float | None, now: float
    ) -> None:
        if pace is None or not MIN_PACE <= pace <= MAX_PACE:
            return
        record.lowest = min(record.lowest, pace)
        if pace >= record.highest or now - record.highest_at > PEAK_SECONDS:
            record.highest = pace
            record.highest_at = now
