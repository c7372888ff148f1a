"""An entry's leave to send to targets that take few."""

import collections.abc

from chivepier.gateway.config import Service
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import LimitBoard
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.leader import Ask
from chivepier.gateway.permits.leader import Leader
from chivepier.gateway.permits.ownpart import OwnPart
from chivepier.gateway.permits.pauses import make_key
from chivepier.gateway.permits.pauses import Pauses
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.turn import Turn
from chivepier.gateway.targets import Target
from chivepier.gateway.zones import Zones
from chivepier.types import Clock

# Seconds after a refusal in which the same cold target isn't asked for again:
# it is cold for a second or more, and its window moves on by then.
REFUSED_SECONDS = 0.1

# Seconds after a question without an answer in which none is asked: each holds
# up its request.
UNANSWERED_SECONDS = 0.5


class Permits:
    """Asks the leader for each send to a target that takes few.

    A cold target crashes when all entries together send it more than it
    bears, one in need is sent more than it named, and an entry does not know
    what the others send. Weighed: an equal part for each entry, which is less
    than one send a second where there are more entries than sends, so that
    none may send at all or all may send at once; a few entries chosen for
    each target, which differ while entries know of different others; counts
    that entries tell each other, which bound nothing while words are lost.
    The leader is one at any time, and what it permits lapses before it is
    permitted again.

    Without a leader, entries send nothing to cold targets and use the warm
    ones. All targets of a service may be in need at once, so to these an
    entry then sends its own part.

    :param zones: which zones were taken back, and when
    :param limits: what targets in need take
    :param bound: of cold targets, for all entries together
    :param ask: asks for one send
    :param own: what this entry may send alone
    :param count_entries: returns how many entries there are
    :param clock: monotonic time
    :param log: what this process believes
    :param metrics: counts answers
    """

    def __init__(
        self,
        *,
        zones: Zones,
        limits: LimitBoard,
        bound: ColdBound,
        ask: Ask,
        own: OwnPart,
        count_entries: collections.abc.Callable[[], int],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._zones = zones
        self._limits = limits
        self._bound = bound
        self._leader = Leader(ask, clock)
        self._own = own
        self._count_entries = count_entries
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._pauses = Pauses()
        self._late_until = float("-inf")
        self._entries = 1
        self._alone = False

    def is_cold(self, service: Service, target: Target, now: float) -> bool:
        """Tell whether a target may bear less than usual.

        Targets of a zone that was evacuated may have become cold meanwhile:
        what they said before it was taken back shows nothing of that.

        :param service: the target's
        :param target: as this node knows it
        :param now: monotonic seconds
        """
        if service.cold_rate <= 0:
            return False
        if now < target.warm_at:
            return True
        readmitted = self._zones.find_readmitted(target.zone)
        return readmitted is not None and target.said < readmitted

    def find_rate(self, target: Target) -> float | None:
        """Return the rate that a target in need takes from all entries."""
        return self._limits.find_rate(target.instance, target.born)

    @property
    def knows_limits(self) -> bool:
        """Whether any target is in need; nearly always none is."""
        return bool(self._limits)

    def find_rates(
        self, targets: collections.abc.Iterable[Target]
    ) -> dict[str, float]:
        """Return what those of some targets take that are in need.

        :param targets: to be looked at
        :returns: requests a second, by the targets' names
        """
        if not self.knows_limits:
            return {}
        rates = {target.instance: self.find_rate(target) for target in targets}
        return {name: rate for name, rate in rates.items() if rate is not None}

    def find_pause(self, target: Target, claim: Claim) -> float | None:
        """Return the seconds until a claim may be made again.

        :param target: in need
        :param claim: whose request wants to go there
        :returns: ``None`` where it may be made now
        """
        if self.find_rate(target) is None:
            return None
        return self._pauses.find(target, claim, self._clock.monotonic())

    async def take(
        self, service: Service, target: Target, claim: Claim
    ) -> Permit | None:
        """Return leave to send one request to a target, once it may go.

        :param service: the target's
        :param target: where it is to be sent
        :param claim: whose request it is
        :returns: ``None`` where it must not be sent
        """
        now = self._clock.monotonic()
        cold = self.is_cold(service, target, now)
        rate = self.find_rate(target)
        if not cold and rate is None:
            return Permit()
        if rate is None:
            # whose request it is decides nothing at a cold target
            claim = Claim()
        key = make_key(target, claim)
        kept = self._leader.take_kept(key)
        if kept is not None:
            return kept
        if self._pauses.find(target, claim, now) is not None:
            return None
        if cold and (now < self._late_until or self._unanswered(now)):
            return None
        turn = await self._claim(service, target, claim, rate, cold)
        if not turn.granted:
            self._pauses.note(target, claim, now + turn.wait)
            self._note_refused(target, rate, turn.wait)
            return None
        if turn.wait:
            await self._clock.sleep(turn.wait)
        return Permit(now + turn.wait + max(PERMIT_SECONDS, turn.lapse))

    def _unanswered(self, now: float) -> bool:
        return now - self._leader.unanswered_at < UNANSWERED_SECONDS

    async def _claim(
        self,
        service: Service,
        target: Target,
        claim: Claim,
        rate: float | None,
        cold: bool,
    ) -> Turn:
        now = self._clock.monotonic()
        if self._unanswered(now):
            return self._claim_without(target, claim, rate, cold)
        request = PermitRequest(
            target.instance,
            self._bound.count(service.cold_rate) if cold else 0,
            -1.0 if rate is None else rate,
            claim.team,
            claim.urgency,
            # what is given of a cold target's bound must be used at once
            0.0 if cold else claim.patience,
        )
        key = make_key(target, claim)
        question, answer = await self._leader.ask(key, request)
        if answer is None:
            # it may still come, for the next request
            self._late_until = now + UNANSWERED_SECONDS
            self._count(rate, "late")
            if self._alone:
                return self._claim_without(target, claim, rate, cold)
            return Turn(False, REFUSED_SECONDS)
        if not answer.has_leader:
            return self._claim_without(target, claim, rate, cold)
        self._alone, self._entries = False, self._count_entries()
        return self._read_answer(answer, rate, question.lapse)

    def _claim_without(
        self, target: Target, claim: Claim, rate: float | None, cold: bool
    ) -> Turn:
        if rate is not None and not cold:
            return self._claim_alone(target, claim, rate)
        self._count(rate, "unanswered")
        return Turn(False, REFUSED_SECONDS)

    def _count(self, rate: float | None, answer: str) -> None:
        kind = "cold" if rate is None else "limit"
        self._metrics.note_permit(kind, answer)

    def _read_answer(
        self, answer: PermitAnswer, rate: float | None, lapse: float
    ) -> Turn:
        self._count(rate, "granted" if answer.granted else "refused")
        if answer.granted:
            return Turn(True, answer.wait, lapse)
        return Turn(False, answer.wait or REFUSED_SECONDS)

    def _claim_alone(self, target: Target, claim: Claim, rate: float) -> Turn:
        """Send this entry's part, as no leader answers.

        The voter that is heard last may hear few entries: the most that were
        known since the leader answered share the rate.
        """
        entries = max(self._entries, self._count_entries())
        if not self._alone:
            self._alone = True
            self._own.begin(entries)
            self._log.warn("limits_kept_alone", entries=entries)
        now = self._clock.monotonic()
        turn = self._own.claim(target.instance, rate, claim, now)
        self._metrics.note_permit(
            "limit", "own_part" if turn.granted else "refused_alone"
        )
        if turn.granted:
            return turn
        # its part may come in minutes, a leader at any moment
        return Turn(False, min(turn.wait, UNANSWERED_SECONDS))

    def _note_refused(
        self, target: Target, rate: float | None, wait: float
    ) -> None:
        now = self._clock.monotonic()
        if not self._pauses.may_log(target, now):
            return
        if rate is not None:
            self._log.info(
                "limited_target_left_out",
                target=target.instance,
                rate=rate,
                wait_ms=round(1000 * wait),
            )
            return
        self._log.info(
            "cold_target_left_out",
            target=target.instance,
            warm_s=round(max(0.0, target.warm_at - now), 3),
            said_s=round(now - target.said, 3),
        )
