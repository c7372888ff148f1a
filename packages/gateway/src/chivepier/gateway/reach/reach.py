"""The one place that decides whether this entry reaches a service."""

import collections.abc
import math
import random

import attrs

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.reach.connectrecord import ConnectRecord
from chivepier.gateway.reach.reachstate import ReachState
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.types import Signal

# Seconds for which a failure counts: a target is tried again within the
# longest backoff of those that fail.
EVIDENCE_SECONDS = 4.0
# Failed targets that are enough for a service with more of them, if no other
# one was reached since the first of them failed.
MIN_FAILED = 4
# Targets that are tried beside those that failed.
VERIFY_COUNT = 3
# Failed targets from which others are tried; one that hangs is enough, as each
# attempt of a request would take as long, and so is one without answers.
MIN_DOUBTFUL = 2
# Seconds after a success in which failures raise no doubt, and after an answer
# in which one alone doesn't.
DOUBT_SECONDS = 1.0
# Seconds after the end of a cut in which a growing part of the requests is
# sent from here, so that targets do not get all new connections at once.
RETURN_SECONDS = 2.0


@attrs.define
class Loss:
    """A time in which a service is out of reach, and the return from it.

    :param since: monotonic time of its begin, in seconds
    :param regained: monotonic time at which a target was reached again
    """

    since: float
    regained: float | None = None


class Reach:
    """Judges by attempts to connect whether a service is out of reach here.

    A target that can't be reached says little: it may have ended. If none of
    a service's targets can, though voters hear them, this entry is cut off.
    Only new connections count: open ones may live on through a cut. A target
    that must not be called now, as it asked for rest, can't tell of a cut.

    :param table: targets that the voters hear
    :param clock: source of monotonic time
    :param rng: draws the requests that are sent from here after a cut
    :param log: event log of this process
    :param metrics: counts changes
    :param may_try: tells whether a target may be connected to now
    """

    def __init__(
        self,
        table: TargetTable,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        metrics: Metrics,
        may_try: collections.abc.Callable[
            [Target], bool
        ] = lambda target: True,
    ):
        self._may_try = may_try
        self._table = table
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._records: dict[str, ConnectRecord] = {}
        self._losses: dict[str, Loss] = {}
        self._doubtful: set[str] = set()
        self._answered_at: dict[str, float] = {}
        self.changed = Signal()
        self.failed = Signal()
        self.forgotten = Signal()
        self.watchers: list[collections.abc.Callable[[str, bool], None]] = []

    @property
    def lost_services(self) -> tuple[str, ...]:
        """Names of the services that are out of reach, in order."""
        return tuple(
            sorted(
                name
                for name, loss in self._losses.items()
                if loss.regained is None
            )
        )

    def get_state(self, service: str) -> ReachState:
        """Return whether the targets of a service can be reached."""
        loss = self._losses.get(service)
        if loss is None:
            return ReachState.REACHED
        if loss.regained is None:
            return ReachState.LOST
        if self._clock.monotonic() - loss.regained >= RETURN_SECONDS:
            del self._losses[service]
            return ReachState.REACHED
        return ReachState.RETURNING

    def is_lost(self, service: str) -> bool:
        """Tell whether a service is out of reach."""
        return self.get_state(service) is ReachState.LOST

    def may_send(self, service: str) -> bool:
        """Tell whether a new request should be sent from here."""
        match self.get_state(service):
            case ReachState.REACHED:
                return True
            case ReachState.LOST:
                return False
            case ReachState.RETURNING:
                since = self._losses[service].regained
                share = (self._clock.monotonic() - since) / RETURN_SECONDS
                return self._rng.random() < share

    def note_failed(
        self, target: Target, error: str, hung: bool = False
    ) -> None:
        """Record that no connection to a target could be made.

        :param target: the target
        :param error: description of the failure, for the log
        :param hung: whether the attempt ended by its timeout
        """
        record = self._records.setdefault(target.instance, ConnectRecord())
        record.failed_at = self._clock.monotonic()
        record.error = error
        service = target.service
        if not self.is_lost(service) and self._judge(service):
            self._begin(service)
        if (
            hung
            or len(self._list_failed(service)) >= MIN_DOUBTFUL
            or self._is_unanswered(service)
        ):
            self._doubtful.add(service)
            self.failed.set()

    def note_reached(self, target: Target) -> None:
        """Record that a new connection to a target was made."""
        record = self._records.setdefault(target.instance, ConnectRecord())
        record.reached_at = self._clock.monotonic()
        loss = self._losses.get(target.service)
        if loss is not None and loss.regained is None:
            self._end(target, loss)

    def note_answered(self, target: Target) -> None:
        """Record an answer, which may have come over an open connection."""
        self._answered_at[target.service] = self._clock.monotonic()

    def now(self) -> float:
        """Return the time that :meth:`note_silent` compares with."""
        return self._clock.monotonic()

    def note_silent(self, target: Target, sent_at: float) -> None:
        """Record that a request got no answer within its objective.

        Open connections that fall silent together show a cut before anything
        connects anew.

        :param target: the target that it was sent to
        :param sent_at: when it was sent, in monotonic seconds
        """
        service = target.service
        if self._answered_at.get(service, -math.inf) < sent_at:
            self._doubtful.add(service)
            self.failed.set()

    def forget(self, instance: str) -> None:
        """Drop the record of a target that is gone or has restarted."""
        if self._records.pop(instance, None) is not None:
            self.forgotten.set()

    def end_without_targets(self, service: str) -> None:
        """End the loss of a service that none of its targets shows any more.

        They are silent, or are left alone until they may be called again.
        """
        candidates = self._list_candidates(service)
        if self._are_silent(candidates) or all(
            not self._get(target).has_failed and not self._may_try(target)
            for target in candidates
        ):
            self._losses.pop(service, None)
            self._notify(service, False)

    def take_doubtful(self) -> list[Target]:
        """Return the targets to try, to tell a cut from ended targets.

        Those are of services where attempts fail of late and none succeeded.
        """
        doubtful, self._doubtful = self._doubtful, set()
        since = self._clock.monotonic() - DOUBT_SECONDS
        targets = []
        for service in sorted(doubtful - set(self.lost_services)):
            found = self._list_candidates(service)
            if all(self._get(t).reached_at < since for t in found):
                failed = [t.instance for t in self._list_failed(service)]
                untried = [
                    target
                    for target in found
                    if target.instance not in failed and self._may_try(target)
                ]
                count = min(VERIFY_COUNT, len(untried))
                targets += self._rng.sample(untried, count)
        return targets

    @property
    def is_quiet(self) -> bool:
        """Whether nothing is out of reach, and nothing has to be tried."""
        return not self._doubtful and not self.lost_services

    def find_next_probe(self, service: str) -> Target | None:
        """Return the target that was not tried for the longest time."""
        return min(
            filter(self._may_try, self._list_candidates(service)),
            key=lambda target: self._get(target).failed_at,
            default=None,
        )

    def _get(self, target: Target) -> ConnectRecord:
        return self._records.get(target.instance, ConnectRecord())

    def _list_candidates(self, service: str) -> list[Target]:
        return self._table.select(service, self._clock.monotonic())

    def _list_failed(self, service: str) -> list[Target]:
        since = self._clock.monotonic() - EVIDENCE_SECONDS
        return [
            target
            for target in self._list_candidates(service)
            if self._get(target).has_failed
            and self._get(target).failed_at >= since
        ]

    def _is_unanswered(self, service: str) -> bool:
        """Tell whether no answer of a service came here of late.

        Where targets accept few requests, a second failure comes too late.
        """
        answered_at = self._answered_at.get(service, -math.inf)
        return self._clock.monotonic() - answered_at >= DOUBT_SECONDS

    def _are_silent(self, targets: list[Target]) -> bool:
        """Tell whether voters hear none of some targets: these have ended."""
        now = self._clock.monotonic()
        return all(self._table.is_unheard(target, now) for target in targets)

    def _judge(self, service: str) -> bool:
        """Tell whether recent failures show that this entry is cut off."""
        candidates = self._list_candidates(service)
        failed = self._list_failed(service)
        names = {target.instance for target in failed}
        others = [t for t in candidates if t.instance not in names]
        if not failed or (
            len(failed) < MIN_FAILED and any(map(self._may_try, others))
        ):
            return False
        if self._are_silent(failed):
            return False
        first = min(self._get(target).failed_at for target in failed)
        if len(failed) < MIN_FAILED and others:
            # those that are left alone can't contradict
            first = min(first, self._clock.monotonic() - DOUBT_SECONDS)
        return all(self._get(t).reached_at < first for t in candidates)

    def _begin(self, service: str) -> None:
        now = self._clock.monotonic()
        self._losses[service] = Loss(now)
        self._metrics.record_reach("lost")
        self._log.warn(
            "reach_lost",
            service=service,
            targets=len(self._list_candidates(service)),
            failed=[
                {
                    "target": target.instance,
                    "age_ms": round(1000 * (now - record.failed_at)),
                    "error": record.error,
                }
                for target in self._list_failed(service)
                if (record := self._get(target))
            ],
        )
        self._notify(service, True)

    def _end(self, target: Target, loss: Loss) -> None:
        loss.regained = self._clock.monotonic()
        self._metrics.record_reach("regained")
        self._log.info(
            "reach_regained",
            service=target.service,
            target=target.instance,
            lost_ms=round(1000 * (loss.regained - loss.since)),
        )
        self._notify(target.service, False)

    def _notify(self, service: str, lost: bool) -> None:
        for watcher in self.watchers:
            watcher(service, lost)
        self.changed.set()
