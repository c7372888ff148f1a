"""Exchange of what targets report of their load."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import TargetReport
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportOutcome
from chivepier.gateway.targets import TargetTable


class ReportExchange:
    """Tells the other entries what targets report here, and takes theirs.

    Only reports of known incarnations are taken: a board then holds no more
    targets than the table, and a wrong start can't hide the reports to come.

    :param board: the newest reports
    :param table: the known targets
    :param log: event log
    :param metrics: counts reports by source
    """

    def __init__(
        self,
        board: ReportBoard,
        table: TargetTable,
        log: EventLog,
        metrics: Metrics,
    ):
        self._board = board
        self._table = table
        self._log = log
        self._metrics = metrics

    def collect(self, now: float) -> tuple[TargetReport, ...]:
        """Return the reports that the other entries should get.

        :param now: current time, in monotonic seconds
        """
        return self._board.collect_changes(now)

    def merge(
        self, reports: collections.abc.Iterable[TargetReport], now: float
    ) -> None:
        """Take the reports that other entries got.

        :param reports: the reports as they were relayed
        :param now: when they arrived, in monotonic seconds
        """
        for report in reports:
            target = self._table.get(report.instance)
            if target is None or target.born != report.born:
                self._metrics.record_report("unknown")
                continue
            match self._board.put(report, now):
                case ReportOutcome.NEW:
                    self._metrics.record_report("relayed")
                case ReportOutcome.OUTDATED:
                    self._metrics.record_report("outdated")
                case ReportOutcome.INVALID:
                    self._metrics.record_report("invalid")
                    self._log.warn(
                        "report_dropped",
                        target=report.instance,
                        born=report.born,
                        reason="impossible figures",
                    )
