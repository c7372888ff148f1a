"""The newest report of each target, with a bound on what is taken."""

import collections.abc

from chivepier.gateway.control.heldreport import HeldReport
from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets import InvalidReport
from chivepier.gateway.targets import ReportOutcome
from chivepier.gateway.targets import unpack_report

# Seconds after which a report is no longer relayed: entries ignore it.
MAX_AGE_SECONDS = 1.0
# Maximum number of reports that one receiver is sent a second, on average:
# half of the 22 KB/s that an instance may spend on control.
REPORTS_PER_SECOND = 300.0
# Maximum number of reports in one message.
MAX_REPORTS_PER_MESSAGE = 32
# Maximum number of targets held: more than can be taken within the life of
# their reports.
MAX_TARGETS = 1_000


class ReportStore:
    """Holds the newest report of each target until it is taken.

    Newest first, as a report is worth less the older it is.

    >>> store = ReportStore()
    >>> for age_ms in (50, 20, 90):
    ...     report = TargetReport("t", 1, age_ms, 2, 0, 6)
    ...     print(store.put(report, None, now=5.0).value)
    new
    new
    outdated
    >>> [held.pack(5.01).age_ms for held in store.take(now=5.01)]
    [30]
    >>> store.take(now=5.02)
    []
    """

    def __init__(self) -> None:
        self._newest: dict[str, HeldReport] = {}
        self._pending: dict[str, None] = {}
        self._allowance = float(MAX_REPORTS_PER_MESSAGE)
        self._refilled_at = 0.0

    def put(
        self,
        report: TargetReport,
        source: collections.abc.Hashable,
        now: float,
    ) -> ReportOutcome:
        """Store a report unless a newer one of its target is held.

        :param report: the report as it arrived
        :param source: whoever sent it
        :param now: when it arrived, in monotonic seconds
        :returns: what became of it
        """
        match unpack_report(report, now):
            case InvalidReport():
                return ReportOutcome.INVALID
            case reading:
                at = reading.at
        known = self._newest.get(report.instance)
        if now - at > MAX_AGE_SECONDS or (
            known is not None
            # one that is too old itself, such as of a wrong start, hides none
            and now - known.at <= MAX_AGE_SECONDS
            and (report.born, at) <= (known.report.born, known.at)
        ):
            return ReportOutcome.OUTDATED
        self._drop(report.instance)
        if len(self._newest) >= MAX_TARGETS:
            self._drop(next(iter(self._newest)))
        self._newest[report.instance] = HeldReport(report, at, source)
        self._pending[report.instance] = None
        return ReportOutcome.NEW

    def take(self, now: float) -> list[HeldReport]:
        """Return reports that were not taken yet, newest first.

        :param now: current time, in monotonic seconds
        :returns: as many as a receiver may be sent now
        """
        self._allowance = min(
            float(MAX_REPORTS_PER_MESSAGE),
            self._allowance + REPORTS_PER_SECOND * (now - self._refilled_at),
        )
        self._refilled_at = now
        taken = []
        while self._pending and self._allowance >= 1.0:
            instance, _ = self._pending.popitem()
            held = self._newest[instance]
            if now - held.at <= MAX_AGE_SECONDS:
                self._allowance -= 1.0
                taken.append(held)
        return taken

    def _drop(self, instance: str) -> None:
        self._newest.pop(instance, None)
        self._pending.pop(instance, None)
