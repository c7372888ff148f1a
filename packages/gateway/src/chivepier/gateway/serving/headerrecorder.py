"""Records what answer headers report about their targets."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import Backoff
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import BrittleTable
from chivepier.gateway.limits import InvalidBackoff
from chivepier.gateway.limits import InvalidLimit
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.targets import InvalidReport
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportedLoad
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Limit of unknown headers that are counted by name, as a target may send any
# number of different ones.
MAX_UNKNOWN_HEADERS = 32
# Name under which a rate limit that can't be parsed is counted.
INVALID_LIMIT = "limit that is no number"
# Name under which a backoff that can't be parsed is counted.
INVALID_BACKOFF = "rest that is no number"
# Name under which a report of a load that can't be parsed is counted.
INVALID_REPORT = "load that is no load"
# Minimum interval between log lines about bytes that were no answer; the count
# in a line includes those in between.
EXCESS_LOG_SECONDS = 5.0


class HeaderRecorder:
    """Records rate limits, backoffs and departures from the heads of answers.

    An unknown header may belong to a newer protocol that entries should
    support, so its first occurrence at any target is logged.

    :param limits: rate limits of targets
    :param backoffs: targets that requested a backoff
    :param leaving_targets: targets that announced that they leave
    :param table: the known targets
    :param clock: monotonic clock
    :param log: event log
    :param metrics: counts unknown headers and backoffs
    :param reports: what targets report of their load; none are kept by default
    :param brittle: targets that bear few refusals
    :param count_entries: returns the number of entries that send to them
    """

    def __init__(
        self,
        limits: LimitTable,
        backoffs: BackoffTable,
        leaving_targets: LeavingTargets,
        table: TargetTable,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        reports: ReportBoard | None = None,
        brittle: BrittleTable | None = None,
        count_entries: collections.abc.Callable[[], int] = lambda: 1,
    ):
        self._reports = ReportBoard() if reports is None else reports
        self._count_entries = count_entries
        self.brittle = BrittleTable() if brittle is None else brittle
        self._backoffs = backoffs
        self._leaving_targets = leaving_targets
        self._table = table
        self._limits = limits
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._unknown_headers: set[str] = set()
        self._excess = 0
        self._excess_logged_at = -EXCESS_LOG_SECONDS

    def find_limit(self, target: Target) -> VersionedLimit | None:
        """Return the last known rate limit of a target."""
        return self._limits.find(target.instance, target.born)

    def record(
        self, target: Target, facts: AnswerFacts, known: VersionedLimit | None
    ) -> None:
        """Record the head of an answer.

        If another instance answered at the target's address, only its leaving
        is recorded, and for that instance.

        :param target: the target that was called
        :param facts: the parsed head
        :param known: the limit that was known when the request was sent
        """
        for name in facts.unknown_headers:
            self._count_unknown_header(target, name.lower())
        if facts.other_instance is not None:
            other = self._table.get(facts.other_instance)
            if facts.leaving and other is not None:
                self._record_leaving(other)
            return
        self._table.note_answered(target.instance, self._clock.monotonic())
        if facts.leaving:
            self._record_leaving(target)
        self._record_backoff(target, facts.backoff)
        self._record_brittle(target, facts)
        self._record_load(target, facts.load)
        match facts.limit:
            case None:
                pass
            case InvalidLimit():
                self._count_unknown_header(target, INVALID_LIMIT)
            case limit:
                self._limits.observe(
                    target.instance,
                    target.born,
                    known,
                    limit,
                    self._clock.monotonic(),
                )

    def record_excess(self, target: Target, kind: str) -> None:
        """Record that a connection was ended for what a target sent.

        :param target: the target that was called last over it
        :param kind: what went on, or ``after`` a whole answer
        """
        self._metrics.record_excess(kind)
        self._excess += 1
        now = self._clock.monotonic()
        if now - self._excess_logged_at >= EXCESS_LOG_SECONDS:
            self._excess_logged_at = now
            self._log.warn(
                "answer_in_excess",
                target=target.instance,
                address=target.address,
                kind=kind,
                ended=self._excess,
            )

    def _record_leaving(self, target: Target) -> None:
        if self._leaving_targets.record(target, self._clock.monotonic()):
            self._log.info(
                "leaving_told",
                target=target.instance,
                born=target.born,
                service=target.service,
                number=target.number,
            )

    def _record_backoff(self, target: Target, backoff: Backoff) -> None:
        now = self._clock.monotonic()
        instance, born = target.instance, target.born
        match backoff:
            case NoBackoff():
                self._backoffs.note_answered(instance, born, now)
            case RequestedBackoff(seconds=seconds):
                self._metrics.record_backoff(target.service)
                if self._backoffs.add(instance, born, seconds, now):
                    pause = self._backoffs.find_delay(instance, born, now)
                    self._log.info(
                        "rest_asked",
                        target=instance,
                        born=born,
                        service=target.service,
                        seconds=seconds,
                        kept_s=round(pause, 3),
                        at_rest=self._backoffs.count(now),
                    )
            case InvalidBackoff():
                self._count_unknown_header(target, INVALID_BACKOFF)

    def _record_brittle(self, target: Target, facts: AnswerFacts) -> None:
        """Bound the refusals of a target that ends at too many of them.

        After each, this entry pauses for as long as keeps all entries together
        within what the target bears.
        """
        now = self._clock.monotonic()
        service, instance, born = target.service, target.instance, target.born
        bound = facts.max_refusals
        before = self.brittle.find(service, instance, now)
        self.brittle.record(service, instance, bound, now)
        if bound != before:
            self._log.info(
                "brittle_known", target=instance, born=born, refusals=bound
            )
        if bound is None or not facts.turned_away:
            return
        pause = self.brittle.find_pause(bound, self._count_entries())
        self._metrics.record_backoff(target.service)
        self._backoffs.add(instance, born, pause, now)

    def _record_load(
        self, target: Target, load: ReportedLoad | InvalidReport | None
    ) -> None:
        match load:
            case None:
                pass
            case InvalidReport():
                self._count_unknown_header(target, INVALID_REPORT)
                self._metrics.record_report("invalid")
            case ReportedLoad():
                now = self._clock.monotonic()
                self._reports.record(target.instance, target.born, load, now)
                self._metrics.record_report("own")

    def _count_unknown_header(self, target: Target, name: str) -> None:
        if name not in self._unknown_headers:
            if len(self._unknown_headers) >= MAX_UNKNOWN_HEADERS:
                return
            self._unknown_headers.add(name)
            self._log.warn(
                "header_unread", header=name, target=target.instance
            )
        self._metrics.record_unknown_header(name)


def get_backoff_seconds(backoff: Backoff) -> float | None:
    """Return the requested backoff in seconds, for the event log."""
    return backoff.seconds if isinstance(backoff, RequestedBackoff) else None
