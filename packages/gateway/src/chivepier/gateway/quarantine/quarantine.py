"""The quarantine of one entry."""

import asyncio
import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.crashdetector import IsReplaced
from chivepier.gateway.quarantine.crashdetector import Probe
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import HOLD_SECONDS
from chivepier.gateway.quarantine.crashledger import MAX_PARTS_PER_ENDING
from chivepier.gateway.quarantine.crashledger import Record
from chivepier.gateway.quarantine.digest import shorten
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.quarantine.overrides import Overrides
from chivepier.gateway.quarantine.partgroup import PartGroup
from chivepier.gateway.quarantine.partholds import PartHolds
from chivepier.gateway.quarantine.partsoundness import PartSoundness
from chivepier.gateway.quarantine.recentanswers import RecentAnswers
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS
from chivepier.gateway.quarantine.trials import Trials
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Interval between runs that drop expired records.
EXPIRY_INTERVAL_SECONDS = 5.0
# Parts that one line of the log names.
MAX_LOGGED_PARTS = 8

Publish = collections.abc.Callable[[Record], None]
Watcher = collections.abc.Callable[[], None]


class Quarantine:
    """Holds back requests that repeatedly end the targets that run them.

    A request that ends each target that runs it interrupts all other streams
    there, is retried under a new id and may reach another entry. Suspects are
    therefore identified by a digest that retries do not change, and by the
    parts of the prompt that other requests share, as one of these may be the
    cause. The evidence is shared between entries.

    :ivar publish: sends a record of this entry to the other entries
    :ivar watchers: called when requests under way may have become held

    :param me: name of this entry
    :param table: targets
    :param probe: checks whether anything listens at a target's address
    :param is_replaced: tells whether another process answers there
    :param overrides: operators' overrides
    :param trials: lets single requests through once a hold is over
    :param clock: monotonic clock
    :param log: log of the decisions
    :param metrics: counters of the decisions
    """

    def __init__(
        self,
        me: str,
        table: TargetTable,
        probe: Probe,
        is_replaced: IsReplaced,
        overrides: Overrides,
        trials: Trials,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.ledger = CrashLedger()
        self.detector = CrashDetector(
            table, probe, is_replaced, self._report_ending, clock
        )
        self.publish: Publish = lambda record: None
        self.watchers: list[Watcher] = []
        self._held: set[str] = set()
        self._held_groups: frozenset[frozenset[str]] = frozenset()
        self._settling: set[asyncio.Task] = set()
        self._table = table
        self._soundness = PartSoundness(table, self.detector)
        self._part_holds = PartHolds(
            self.ledger, self.detector, self._soundness, trials
        )
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
        return (
            not self.ledger.suspects
            and not self.ledger.parts.groups
            and not self.overrides.keep_out
        )

    def find_hold(
        self, digest: str, parts: tuple[str, ...] = (), team: str = ""
    ) -> Hold | None:
        """Return the hold on a request that must not be sent to targets.

        :param digest: digest of the request
        :param parts: digests of the shared parts of its prompt
        :param team: team of its caller; empty if its route requires none
        :returns: the hold with its evidence, or ``None``
        """
        if self.overrides.allows(digest):
            return None
        now = self._clock.monotonic()
        if any(map(self.overrides.blocks, (digest, *parts))):
            return Hold(digest, (), now + HOLD_SECONDS)
        hold = self.ledger.find_hold(digest, now)
        if hold is not None:
            return hold
        allowed = self.overrides.allows
        suspected = [part for part in parts if not allowed(part)]
        return self._part_holds.find(digest, suspected, team, now)

    def note_lost(self, request: LostRequest) -> None:
        """Check whether the target of a lost request has ended."""
        self.detector.investigate(request)

    async def wait_for_check(
        self, digest: str, target: Target, parts: tuple[str, ...] = ()
    ) -> None:
        """Wait briefly for the check of a lost request's target.

        Waits only if one more ending would hold the request back; others are
        retried elsewhere at once.

        :param digest: digest of the request
        :param target: target at which it was lost
        :param parts: digests of the shared parts of its prompt
        """
        if self.is_nearly_held(digest, parts):
            await self.detector.wait_for_probe(target)

    def is_nearly_held(self, digest: str, parts: tuple[str, ...] = ()) -> bool:
        """Tell whether one more ending would hold a request back.

        :param digest: digest of the request
        :param parts: digests of the shared parts of its prompt
        """
        counts = [self.ledger.parts.count(part) for part in parts]
        counts.append(len(self.ledger.find_endings(digest)))
        return max(counts) >= MIN_ENDINGS - 1

    def note_answered(self, digest: str) -> None:
        """Record that a target answered a request completely.

        :param digest: digest of the request
        """
        now = self._clock.monotonic()
        self._recent_answers.add(digest, now)
        if self.ledger.has_endings(digest):
            self._clear(digest, now)

    def note_sound(self, parts: tuple[str, ...], target: Target) -> None:
        """Record that a target survived a request with these parts.

        :param parts: digests of the shared parts of its prompt
        :param target: target that answered it
        """
        now = self._clock.monotonic()
        self._note_sound(parts, self.describe_software(target), now)

    def note_unframed(self, parts: tuple[str, ...], target: Target) -> None:
        """Record an answer whose end a crash of its target would look like.

        It shows that the parts are sound if the target lives on.

        :param parts: digests of the shared parts of its prompt
        :param target: target that answered it
        """
        software = self.describe_software(target)
        now = self._clock.monotonic()
        self._soundness.note_unframed(parts, target, software, now)

    def describe_software(self, target: Target) -> str:
        """Return a target's service and the version of its software."""
        return f"{target.service} {self._table.find_version(target)}"

    def _note_sound(
        self, parts: tuple[str, ...], software: str, now: float
    ) -> None:
        self._soundness.note_answered(parts, software, now)
        for part in parts:
            if not self.ledger.parts.count(part):
                continue
            endings = self.ledger.parts.find_endings(part)
            if any(ending.software == software for ending in endings):
                self._clear(part, now, software)

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
            parts=[shorten(part) for part in sorted(hold.parts)],
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
                    self._contradict(record, now)

    def _contradict(self, ending: Ending, now: float) -> None:
        """Clear the parts of an ending that are known here to be sound."""
        for part in ending.parts:
            answered = self._soundness.find(part, ending.software, now)
            if answered is not None:
                self._clear(part, answered, ending.software)

    def expire(self) -> None:
        """Drop expired records, and judge answers that were closed."""
        now = self._clock.monotonic()
        for answer in self._soundness.take_survived(now):
            self._note_sound(answer.parts, answer.software, now)
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        self.ledger.expire(now)
        self._update_held("time")
        self._part_holds.forget(self._held_groups)

    async def close(self) -> None:
        """Cancel all checks."""
        for task in self._settling:
            task.cancel()
        await asyncio.gather(*self._settling, return_exceptions=True)
        await self.detector.close()

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
        unproved = self._soundness.select_unproved(
            request.parts, request.software, request.lost_at
        )
        ending = Ending(
            request.digest,
            incarnation,
            request.lost_at,
            self._me,
            how,
            request.team or "",
            request.software,
            request.answering,
            tuple(unproved[:MAX_PARTS_PER_ENDING]),
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
            parts={
                shorten(part): self.ledger.parts.count(part)
                for part in ending.parts[:MAX_LOGGED_PARTS]
            },
        )
        self.publish(ending)

    def _clear(self, digest: str, answered: float, software: str = "") -> None:
        clearance = Clearance(digest, answered, self._me, software)
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
        for digest in before - held:
            self._metrics.record_quarantine("released")
            self._log.info(
                "suspect_released", digest=shorten(digest), reason=reason
            )
        if held - before:
            self._notify_watchers()
        self._update_held_groups(reason)

    def _notify_watchers(self) -> None:
        for watcher in self.watchers:
            watcher()

    def _update_held_groups(self, reason: str) -> None:
        before = self._held_groups
        groups = {group.parts: group for group in self.ledger.parts.groups}
        self._held_groups = frozenset(groups)
        for parts in groups.keys() - before:
            self._note_held_group(groups[parts])
        for parts in before - groups.keys():
            self._metrics.record_quarantine("released")
            self._log.info(
                "suspect_released",
                parts=[shorten(part) for part in sorted(parts)],
                reason=reason,
            )

    def _note_held_group(self, group: PartGroup) -> None:
        self._metrics.record_quarantine("held")
        now = self._clock.monotonic()
        self._log.warn(
            "suspect_held",
            parts=[shorten(part) for part in sorted(group.parts)],
            ends=len({ending.incarnation for ending in group.endings}),
            requests=len({ending.digest for ending in group.endings}),
            teams=sorted({ending.team for ending in group.endings}),
            sources=sorted({ending.source for ending in group.endings}),
            hold_s=round(self._part_holds.compute_seconds(group, now)),
        )
        wait = self._part_holds.compute_settle_time(group) - now
        if wait <= 0:
            self._notify_watchers()
            return
        task = asyncio.create_task(self._notify_later(wait))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _notify_later(self, seconds: float) -> None:
        await self._clock.sleep(seconds)
        self._notify_watchers()
