"""Permits of an entry to send to cold or rate-limited targets."""

import collections.abc

from chivepier.gateway.config import Service
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.fallbacklimiter import FallbackLimiter
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.permitclient import Ask
from chivepier.gateway.permits.permitclient import PermitClient
from chivepier.gateway.permits.refusalbackoffs import make_key
from chivepier.gateway.permits.refusalbackoffs import RefusalBackoffs
from chivepier.gateway.permits.senddecision import SendDecision
from chivepier.gateway.targets import Target
from chivepier.gateway.zones import Zones
from chivepier.types import Clock

# Seconds after a refusal in which no permit is requested for the same cold
# target. It stays cold for a second or more, and the window has moved by then.
REFUSAL_BACKOFF_SECONDS = 0.1

# Seconds after an unanswered permit request in which no other is sent: each
# one delays its request.
LEADER_BACKOFF_SECONDS = 0.5


class SendLimiter:
    """Asks the leader for a permit for each send to a limited target.

    A cold target crashes if all entries together send it too much, and a
    rate-limited target must not get more than its limit, but an entry does not
    know what the others send. Alternatives that were rejected:

    * An equal share for each entry: with more entries than sends per second it
      is less than one send, so either no entry sends or all send at once.
    * A few entries selected for each target: the selections differ while
      entries know different sets of entries.
    * Send counts exchanged between entries: they limit nothing while messages
      are lost.

    There is only one leader at a time, and each permit expires before it is
    granted again.

    Without a leader, entries send nothing to cold targets and use the warm
    ones. All targets of a service may be rate-limited at once, so an entry
    then sends its share of the limit to these.

    :param zones: evacuated and readmitted availability zones
    :param limits: rate limits that targets announced
    :param bound: send limit of cold targets over all entries
    :param ask: sends one permit request to the leader
    :param fallback: limiter of this entry for times without a leader
    :param count_entries: returns the number of known entries
    :param clock: source of monotonic time
    :param log: event log of this process
    :param metrics: counters of permit answers
    """

    def __init__(
        self,
        *,
        zones: Zones,
        limits: LimitTable,
        bound: ColdBound,
        ask: Ask,
        fallback: FallbackLimiter,
        count_entries: collections.abc.Callable[[], int],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._zones = zones
        self._limits = limits
        self._bound = bound
        self._client = PermitClient(ask, clock)
        self._fallback = fallback
        self._count_entries = count_entries
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._backoffs = RefusalBackoffs()
        self._late_answer_until = float("-inf")
        self._entry_count = 1
        self._leaderless = False

    def is_cold(self, service: Service, target: Target, now: float) -> bool:
        """Tell whether a target may tolerate less load than usual.

        Targets of an evacuated zone may have become cold since; announcements
        from before the zone was readmitted do not show that.

        :param service: service of the target
        :param target: latest announcement of the target
        :param now: current monotonic time, in seconds
        """
        if service.cold_rate <= 0:
            return False
        if now < target.warm_at:
            return True
        readmitted = self._zones.find_readmission(target.zone)
        return readmitted is not None and target.announced_at < readmitted

    def is_outdated(self, permit: Permit, target: Target) -> bool:
        """Tell whether a target that had no limits has any now.

        :param permit: the permit that was taken for the send
        :param target: latest announcement of the target
        """
        service, now = permit.unlimited, self._clock.monotonic()
        return service is not None and (
            self.is_cold(service, target, now)
            or self.find_rate(target) is not None
        )

    def find_rate(self, target: Target) -> float | None:
        """Return a target's rate limit over all entries, or None."""
        return self._limits.find_rate(target.instance, target.born)

    @property
    def has_limits(self) -> bool:
        """Whether any target is rate-limited; usually none is."""
        return bool(self._limits)

    def find_rates(
        self, targets: collections.abc.Iterable[Target]
    ) -> dict[str, float]:
        """Return the rate limits of those targets that have one.

        :param targets: targets to look up
        :returns: requests per second by name of the target
        """
        if not self.has_limits:
            return {}
        rates = {target.instance: self.find_rate(target) for target in targets}
        return {name: rate for name, rate in rates.items() if rate is not None}

    def find_backoff(self, target: Target, claim: Claim) -> float | None:
        """Return the seconds until a claim may be repeated.

        :param target: target of the claim
        :param claim: the claim of the request
        :returns: ``None`` if it may be made now
        """
        if self.find_rate(target) is None:
            return None
        return self._backoffs.find_remaining(
            target, claim, self._clock.monotonic()
        )

    async def acquire(
        self, service: Service, target: Target, claim: Claim
    ) -> Permit | None:
        """Wait for a permit to send one request to a target.

        :param service: service of the target
        :param target: target of the request
        :param claim: the claim of the request
        :returns: the permit; ``None`` if the request must not be sent
        """
        now = self._clock.monotonic()
        cold = self.is_cold(service, target, now)
        rate = self.find_rate(target)
        if not cold and rate is None:
            return Permit(unlimited=service)
        if rate is None:
            # cold targets are not scheduled by team or urgency
            claim = Claim()
        key = make_key(target, claim)
        kept = self._client.take_unused(key)
        if kept is not None:
            return kept
        if self._backoffs.find_remaining(target, claim, now) is not None:
            return None
        if cold and (
            now < self._late_answer_until or self._is_leader_unanswered(now)
        ):
            return None
        decision = await self._claim(service, target, claim, rate, cold)
        if not decision.granted:
            self._backoffs.record(target, claim, now + decision.wait)
            self._note_refused(target, rate, decision.wait)
            return None
        if decision.wait:
            await self._clock.sleep(decision.wait)
        return Permit(
            now + decision.wait + max(PERMIT_SECONDS, decision.permit_seconds)
        )

    def _is_leader_unanswered(self, now: float) -> bool:
        return now - self._client.last_unanswered_at < LEADER_BACKOFF_SECONDS

    async def _claim(
        self,
        service: Service,
        target: Target,
        claim: Claim,
        rate: float | None,
        cold: bool,
    ) -> SendDecision:
        now = self._clock.monotonic()
        if self._is_leader_unanswered(now):
            return self._claim_leaderless(target, claim, rate, cold)
        request = PermitRequest(
            target.instance,
            self._bound.get_max_sends(service.cold_rate) if cold else 0,
            -1.0 if rate is None else rate,
            claim.team,
            claim.urgency,
            # permits for a cold target must be used at once
            0.0 if cold else claim.max_wait,
        )
        key = make_key(target, claim)
        pending, answer = await self._client.ask(key, request)
        if answer is None:
            # a late answer can still serve the next request
            self._late_answer_until = now + LEADER_BACKOFF_SECONDS
            self._count(rate, "late")
            if self._leaderless:
                return self._claim_leaderless(target, claim, rate, cold)
            return SendDecision(False, REFUSAL_BACKOFF_SECONDS)
        if not answer.has_leader:
            return self._claim_leaderless(target, claim, rate, cold)
        self._leaderless, self._entry_count = False, self._count_entries()
        return self._read_answer(answer, rate, pending.permit_seconds)

    def _claim_leaderless(
        self, target: Target, claim: Claim, rate: float | None, cold: bool
    ) -> SendDecision:
        if rate is not None and not cold:
            return self._claim_locally(target, claim, rate)
        self._count(rate, "unanswered")
        return SendDecision(False, REFUSAL_BACKOFF_SECONDS)

    def _count(self, rate: float | None, answer: str) -> None:
        kind = "cold" if rate is None else "limit"
        self._metrics.record_permit(kind, answer)

    def _read_answer(
        self, answer: PermitAnswer, rate: float | None, permit_seconds: float
    ) -> SendDecision:
        self._count(rate, "granted" if answer.granted else "refused")
        if answer.granted:
            return SendDecision(True, answer.wait, permit_seconds)
        return SendDecision(False, answer.wait or REFUSAL_BACKOFF_SECONDS)

    def _claim_locally(
        self, target: Target, claim: Claim, rate: float
    ) -> SendDecision:
        """Apply this entry's share of the rate limit without a leader.

        The voter that responded last may know few entries, so the share uses
        the larger of the current count and the count at the leader's last
        answer.
        """
        entries = max(self._entry_count, self._count_entries())
        if not self._leaderless:
            self._leaderless = True
            self._fallback.reset(entries)
            self._log.warn("limits_kept_alone", entries=entries)
        now = self._clock.monotonic()
        decision = self._fallback.acquire(target.instance, rate, claim, now)
        self._metrics.record_permit(
            "limit", "own_part" if decision.granted else "refused_alone"
        )
        if decision.granted:
            return decision
        # the next local turn may be minutes away; a leader may return earlier
        return SendDecision(False, min(decision.wait, LEADER_BACKOFF_SECONDS))

    def _note_refused(
        self, target: Target, rate: float | None, wait: float
    ) -> None:
        now = self._clock.monotonic()
        if not self._backoffs.should_log(target, now):
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
            said_s=round(now - target.announced_at, 3),
        )
