"""The newest reports of targets about their own load."""

import collections.abc
import math

import attrs

from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets.boardrecord import BoardRecord
from chivepier.gateway.targets.boardrecord import COUNTS_LIFETIME_SECONDS
from chivepier.gateway.targets.invalidreport import InvalidReport
from chivepier.gateway.targets.reading import Reading
from chivepier.gateway.targets.reportedload import ReportedLoad
from chivepier.gateway.targets.reportoutcome import ReportOutcome
from chivepier.gateway.targets.reportrecords import is_plausible_pace
from chivepier.gateway.targets.reportrecords import pack_report
from chivepier.gateway.targets.reportrecords import unpack_report
from chivepier.gateway.targets.target import Target
from chivepier.types import Signal

# Seconds after which a reported pace says nothing of the present: the work of
# others on the target's machine changes several times a second.
PACE_LIFETIME_SECONDS = 0.2
# Seconds within which the highest pace of a target counts as its peak.
PEAK_SECONDS = 10.0
# Number of targets with a peak from which the largest is left out.
MIN_PEAKS = 3
# Maximum number of reports in one notice; as notices are batched for 10 ms,
# an entry rarely has answers of more targets.
MAX_REPORTS_PER_NOTICE = 8
# Maximum number of this entry's sends that are kept by target: more within
# the life of a report would fill any target.
MAX_RECENT_SENDS = 64
# Maximum number of targets with a record: more than the largest site has.
MAX_TARGETS = 16_384

PaceWatcher = collections.abc.Callable[[str, int, float], None]


class ReportBoard:
    """Keeps what each incarnation of a target last reported.

    Reports are out of date when they arrive: a choice counts on top what this
    entry has sent since, and trusts a pace for a fraction of a second only.
    ``updated`` is set by each report that is stored.

    ``pace_watchers`` are called with the name, start and pace of a target when
    its pace is known first.

    :param changed: set when there is something to tell the other entries

    >>> board = ReportBoard()
    >>> report = ReportedLoad(running=2, waiting=0, slots=6, pace=1.7)
    >>> board.record("t", 1, report, now=5.0)
    True
    >>> board.get_base_pace("t", 1), board.get_pace("t", 1, now=5.1)
    (1.7, 1.7)
    >>> board.record("t", 1, report, now=4.0)
    False
    """

    def __init__(self, changed: Signal | None = None) -> None:
        self.pace_watchers: list[PaceWatcher] = []
        self._changed = changed
        self._records: dict[str, tuple[int, BoardRecord]] = {}
        self._pending: dict[str, None] = {}
        self.updated = Signal()

    @property
    def is_empty(self) -> bool:
        """Whether no target has reported anything."""
        return not self._records

    def record(
        self, instance: str, born: int, load: ReportedLoad, now: float
    ) -> bool:
        """Store a report that this entry got from the target itself.

        :param instance: name of the target
        :param born: start of the incarnation that reported, in Unix
            milliseconds
        :param load: its report
        :param now: when it was made, in monotonic seconds
        :returns: whether it is used: it tells a pace, and is newer than the
            one that was known
        """
        if load.pace is None:
            # counts alone don't tell how long requests wait behind them
            return False
        record = self._store(instance, born, Reading(load, now))
        if record is None:
            return False
        self._pending.pop(instance, None)
        if record.has_news():
            self._pending[instance] = None
            if self._changed is not None:
                self._changed.set()
        return True

    def put(self, report: TargetReport, now: float) -> ReportOutcome:
        """Store a report that another entry got.

        :param report: the report as it was relayed
        :param now: when it arrived, in monotonic seconds
        :returns: what became of it
        """
        match unpack_report(report, now):
            case InvalidReport():
                return ReportOutcome.INVALID
            case reading:
                pass
        if now - reading.at > COUNTS_LIFETIME_SECONDS:
            return ReportOutcome.OUTDATED
        record = self._store(report.instance, report.born, reading)
        if record is None:
            return ReportOutcome.OUTDATED
        record.told = reading
        self._pending.pop(report.instance, None)
        return ReportOutcome.NEW

    def collect_changes(self, now: float) -> tuple[TargetReport, ...]:
        """Return the own reports that the other entries should get.

        What doesn't fit into a notice is left for the next one.

        :param now: current time, in monotonic seconds
        :returns: the newest report of each target with news, newest first
        """
        reports: list[TargetReport] = []
        while self._pending and len(reports) < MAX_REPORTS_PER_NOTICE:
            instance, _ = self._pending.popitem()
            born, record = self._records[instance]
            if now - record.reading.at > COUNTS_LIFETIME_SECONDS:
                continue
            record.told = record.reading
            reports.append(pack_report(instance, born, record.reading, now))
        return tuple(reports)

    def note_start(self, instance: str, now: float | None = None) -> None:
        """Count a request that this entry sends.

        :param instance: name of the target
        :param now: when it is sent, in monotonic seconds; by default right
            after the last report
        """
        known = self._records.get(instance)
        if known is None:
            return
        record = known[1]
        # one in the same moment as the report came after it
        after = math.nextafter(record.reading.at, math.inf)
        record.sends.append(after if now is None else max(now, after))
        del record.sends[:-MAX_RECENT_SENDS]

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
        load, at = record.reading.load, record.reading.at
        own = sum(1 for sent_at in record.sends if sent_at > at)
        return load.running + load.waiting + own

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
        :returns: the highest recent pace over the lowest one of the same
            target, at least 1.0; of several targets the second largest, as
            one may report what isn't so
        """
        ratios = [1.0]
        for target in targets:
            record = self._find_record(target.instance, target.born)
            if record is None or not math.isfinite(record.lowest):
                continue
            if now - record.highest_at <= PEAK_SECONDS:
                ratios.append(record.highest / record.lowest)
        ratios.sort()
        return ratios[-2] if len(ratios) > MIN_PEAKS else ratios[-1]

    def forget(self, instance: str, born: int) -> None:
        """Drop the reports of an incarnation that has ended."""
        known = self._records.get(instance)
        if known is not None and known[0] <= born:
            self._drop(instance)

    def _drop(self, instance: str) -> None:
        del self._records[instance]
        self._pending.pop(instance, None)

    def _find_record(self, instance: str, born: int) -> BoardRecord | None:
        known = self._records.get(instance)
        if known is None or known[0] != born:
            return None
        return known[1]

    def _store(
        self, instance: str, born: int, reading: Reading
    ) -> BoardRecord | None:
        """Store a report; return its record if it is the newest one."""
        pace = reading.load.pace
        if pace is not None and not is_plausible_pace(pace):
            load = attrs.evolve(reading.load, pace=None)
            reading = attrs.evolve(reading, load=load)
        known = self._records.get(instance)
        if known is not None and born < known[0]:
            return None
        if known is not None and born == known[0]:
            record = known[1]
            if reading.at <= record.reading.at:
                self._note_pace(instance, born, record, reading)
                return None
            record.reading = reading
        else:
            self._records.pop(instance, None)
            if len(self._records) >= MAX_TARGETS:
                self._drop(next(iter(self._records)))
            record = BoardRecord(reading)
            self._records[instance] = (born, record)
        self._note_pace(instance, born, record, reading)
        self.updated.set()
        return record

    def _note_pace(
        self, instance: str, born: int, record: BoardRecord, reading: Reading
    ) -> None:
        pace, at = reading.load.pace, reading.at
        if pace is None:
            return
        first = math.isinf(record.lowest)
        record.lowest = min(record.lowest, pace)
        if pace >= record.highest or at - record.highest_at > PEAK_SECONDS:
            record.highest = pace
            record.highest_at = at
        if first:
            for watcher in self.pace_watchers:
                watcher(instance, born, pace)
