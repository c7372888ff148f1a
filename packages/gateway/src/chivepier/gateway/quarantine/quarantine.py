"""The quarantine of one entry."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.crashdetector import Probe
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import HOLD_SECONDS
from chivepier.gateway.quarantine.crashledger import Record
from chivepier.gateway.quarantine.digest import shorten
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.quarantine.overrides import Overrides
from chivepier.gateway.quarantine.recentanswers import RecentAnswers
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Interval between runs that drop expired records.
EXPIRY_INTERVAL_SECONDS = 5.0

Publish = collections.abc.Callable[[Record], None]
Watcher = collections.abc.Callable[[str], None]


class Quarantine:
    """Holds back requests that repeatedly end the targets that run them.

    A request that ends each target that runs it interrupts all other streams
    there, is retried under a new id and may reach another entry. Suspects are
    therefore identified by a digest that retries do not change, and the
    evidence is shared between entries.

    :ivar publish: sends a record of this entry to the other entries
    :ivar watchers: called with the digest of each request that becomes held

    :param me: name of this entry
    :param table: targets
    :param probe: checks whether a target is alive
    :param overrides: operators' overrides
    :param clock: monotonic clock
    :param log: log of the decisions
    :param metrics: counters of the decisions
    """

    def __init__(
        self,
        me: str,
        table: TargetTable,
        probe: Probe,
        overrides: Overrides,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.ledger = CrashLedger()
        self.detector = CrashDetector(table, probe, self._report_ending, clock)
        self.publish: Publish = lambda record: None
        self.watchers: list[Watcher] = []
        self._held: set[str] = set()
        self._expired_at = 0.0
        self._me = me
        self.overrides = overrides
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._recent_answers = RecentAnswers()

    @property
    def idle(self) -> bool:
        """Whether no request can be held back."""
        return not self.ledger.suspects and not self.overrides.keep_out

    def find_hold(self, digest: str) -> Hold | None:
        """Return the hold on a request that must not be sent to targets.

        :param digest: digest of the request
        :returns: the hold with its evidence, or ``None``
        """
        if self.overrides.allows(digest):
            return None
        now = self._clock.monotonic()
        if self.overrides.blocks(digest):
            return Hold(digest, (), now + HOLD_SECONDS)
        return self.ledger.find_hold(digest, now)

    def note_lost(self, request: LostRequest) -> None:
        """Check whether the target of a lost request has ended."""
        self.detector.investigate(request)

    async def wait_for_check(self, digest: str, target: Target) -> None:
        """Wait briefly for the check of a lost request's target.

        Waits only if one more ending would hold the request back; others are
        retried elsewhere at once.

        :param digest: digest of the request
        :param target: target at which it was lost
        """
        if len(self.ledger.find_endings(digest)) >= MIN_ENDINGS - 1:
            await self.detector.wait_for_probe(target)

    def note_answered(self, digest: str) -> None:
        """Record that a target answered a request completely.

        :param digest: digest of the request
        """
        now = self._clock.monotonic()
        self._recent_answers.add(digest, now)
        if self.ledger.has_endings(digest):
            self._clear(digest, now)

    def note_refused(self, identity: str, team: str, hold: Hold) -> None:
        """Log and count a refused request.

        :param identity: id of the request
        :param team: team of the caller
        :param hold: hold for which it was refused
        """
        now = self._clock.monotonic()
        self._metrics.record_quarantine("refused")
        self._log.warn(
            "request_held",
            id=identity,
            digest=shorten(hold.digest),
            team=team,
            until_s=round(hold.until - now),
            ends=[
                {
                    "target": ending.incarnation.instance,
                    "born": ending.incarnation.born,
                    "age_s": round(now - ending.seen, 1),
                    "source": ending.source,
                    "how": ending.how,
                }
                for ending in hold.endings
            ],
        )

    def merge(self, records: collections.abc.Iterable[Record]) -> None:
        """Merge records from other entries."""
        now = self._clock.monotonic()
        for record in records:
            if not self._add(record):
                continue
            match record:
                case Ending(digest=digest, incarnation=incarnation, seen=seen):
                    self.detector.note_ended(incarnation, seen, "told")
                    if self._recent_answers.find(digest, now) is not None:
                        self._clear(
                            digest, self._recent_answers.find(digest, now)
                        )

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock.monotonic()
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        self.ledger.expire(now)
        self._update_held("time")

    def _report_ending(self, request: LostRequest, how: str) -> None:
        """Record that a target has ended under a request of this entry."""
        answered_at = self._recent_answers.find(
            request.digest, request.lost_at
        )
        if answered_at is not None:
            # copies of it run on many targets, and others answered them
            self._log.info(
                "ending_passed_over",
                id=request.id,
                digest=shorten(request.digest),
                target=request.target.instance,
                answered_s=round(request.lost_at - answered_at, 1),
            )
            return
        incarnation = Incarnation.of(request.target)
        ending = Ending(
            request.digest, incarnation, request.lost_at, self._me, how
        )
        if not self._add(ending):
            return
        self._metrics.record_quarantine("suspected")
        self._log.warn(
            "target_ended_under",
            id=request.id,
            digest=shorten(request.digest),
            team=request.team,
            target=incarnation.instance,
            born=incarnation.born,
            how=how,
            ends=len(self.ledger.find_endings(request.digest)),
        )
        self.publish(ending)

    def _clear(self, digest: str, answered: float) -> None:
        clearance = Clearance(digest, answered, self._me)
        if self._add(clearance):
            self._metrics.record_quarantine("cleared")
            self._log.info("suspect_cleared", digest=shorten(digest))
            self.publish(clearance)

    def _add(self, record: Record) -> bool:
        added = self.ledger.add(record)
        if added:
            self._update_held(type(record).__name__.lower())
        return added

    def _update_held(self, reason: str) -> None:
        before = self._held
        self._held = held = self.ledger.find_held(self._clock.monotonic())
        for digest in held - before:
            self._metrics.record_quarantine("held")
            ends = self.ledger.find_endings(digest)
            self._log.warn(
                "suspect_held",
                digest=shorten(digest),
                ends=len(ends),
                sources=sorted({ending.source for ending in ends}),
            )
            for watcher in self.watchers:
                watcher(digest)
        for digest in before - held:
            self._metrics.record_quarantine("released")
            self._log.info(
                "suspect_released", digest=shorten(digest), reason=reason
            )
