"""Decides whether a request may be sent to a target."""

import collections.abc
import typing

from chivepier.gateway.config import Service
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import Permit
from chivepier.gateway.permits import SendLimiter
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import Zones
from chivepier.types import Clock

# Seconds after a zone is evacuated in which a generation may still be resumed
# from a copy there: already stopped at its source, it would be lost otherwise.
RESUME_GRACE_SECONDS = 1.0
# Seconds for which a generation to be resumed waits for a permit, and the
# interval at which it asks.
RESUME_WAIT_SECONDS = 1.0
RESUME_POLL_SECONDS = 0.05
# Urgency class of a generation to be resumed, ahead of all new ones: if it
# were refused, its prefill would be lost.
RESUME_URGENCY = -1


class SendGate:
    """Checks evacuations, leaving targets, backoffs and permits before sends.

    :param zones: evacuated availability zones
    :param table: the known targets and whether they leave
    :param permits: permits for targets with a rate limit
    :param backoffs: targets that requested a backoff
    :param freshness: whether what is known of zones and targets is recent
    :param clock: monotonic clock
    :param metrics: counts sends that are refused by :meth:`check`
    :param has_place: tells whether a target that bears few refusals has a
        place at a monotonic time
    """

    def __init__(
        self,
        zones: Zones,
        table: TargetTable,
        permits: SendLimiter,
        backoffs: BackoffTable,
        freshness: Freshness,
        clock: Clock,
        metrics: Metrics,
        has_place: collections.abc.Callable[[Target, float], bool] = (
            lambda target, now: True
        ),
    ):
        self._has_place = has_place
        self._zones = zones
        self._table = table
        self._permits = permits
        self._backoffs = backoffs
        self._metrics = metrics
        self._freshness = freshness
        self._clock = clock

    async def wait_fresh(self) -> None:
        """Wait until what the voters know is known here, or can't be."""
        await self._freshness.wait()

    async def acquire_permit(
        self, service: Service, target: Target, claim: Claim
    ) -> Permit | None:
        """Return a permit to send one request, ``None`` if there is none."""
        return await self._permits.acquire(service, target, claim)

    def find_rate(self, target: Target) -> float | None:
        """Return the rate limit of a target in requests/s, if it has one."""
        return self._permits.find_rate(target)

    @property
    def has_limits(self) -> bool:
        """Whether any target has a rate limit."""
        return self._permits.has_limits

    def find_rates(
        self, targets: collections.abc.Iterable[Target]
    ) -> dict[str, float]:
        """Return the rate limits of those targets that have one, by name."""
        return self._permits.find_rates(targets)

    def find_backoff(self, target: Target, claim: Claim) -> float | None:
        """Return the seconds until a rate-limited target may be asked for."""
        return self._permits.find_backoff(target, claim)

    def check(
        self, target: Target, purpose: CallPurpose, permit: Permit
    ) -> None:
        """Check a send right before its first byte.

        The zone may have been evacuated, or the target have turned cold, while
        the request waited for capacity, for a reservation or for a connection,
        or while this entry was suspended.

        :param target: the target to be called
        :param purpose: why it is called
        :param permit: the permit that was taken for the call
        :raises NotPermittedError: when the target must not be called now
        """
        if self._find_delay(target, self._clock.monotonic()) is not None:
            self.refuse("rest")
        self.confirm(target, purpose, permit)

    def confirm(
        self, target: Target, purpose: CallPurpose, permit: Permit
    ) -> None:
        """Check a send again that has counted as the first after a backoff.

        :param target: the target to be called
        :param purpose: why it is called
        :param permit: the permit that was taken for the call
        :raises NotPermittedError: when the target must not be called any more
        """
        reason = self._find_refusal_reason(target, purpose, permit)
        if reason is not None:
            self.refuse(reason)

    def refuse(self, reason: str) -> typing.NoReturn:
        """Count a send that is not made.

        :param reason: why, in a word
        :raises NotPermittedError: always
        """
        self._metrics.record_held_back(reason)
        raise NotPermittedError(reason)

    def _find_refusal_reason(
        self, target: Target, purpose: CallPurpose, permit: Permit
    ) -> str | None:
        now = self._clock.monotonic()
        match purpose:
            case CallPurpose.START if self._zones.is_evacuated(
                target.zone, now
            ):
                return "evacuated"
            case CallPurpose.START if self._table.is_leaving(target.instance):
                return "leaving"
            case CallPurpose.START if not self._freshness.recent:
                return "stale"
            case CallPurpose.START if self._is_outdated(permit, target):
                return "permit"
            case CallPurpose.START if not self._has_place(target, now):
                return "brittle"
            case CallPurpose.RESUME if not self._may_resume_in_zone(
                target, now
            ):
                return "evacuated"
        return "permit" if now > permit.expires_at else None

    def _is_outdated(self, permit: Permit, target: Target) -> bool:
        known = self._table.get(target.instance) or target
        return self._permits.is_outdated(permit, known)

    def _find_delay(self, target: Target, now: float) -> float | None:
        return self._backoffs.find_delay(target.instance, target.born, now)

    def note_sent(self, target: Target) -> None:
        """Record that a target is being called."""
        now = self._clock.monotonic()
        self._backoffs.note_sent(target.instance, target.born, now)

    def may_probe(self, target: Target) -> bool:
        """Return whether a target may be probed for liveness."""
        now = self._clock.monotonic()
        if self._zones.is_evacuated(target.zone, now):
            return False
        return self._find_delay(target, now) is None

    def may_resume(self, target: Target) -> bool:
        """Return whether a generation may be resumed from a copy at a target.

        A backoff that ends within the wait for a permit does not prevent it.
        """
        now = self._clock.monotonic()
        delay = self._find_delay(target, now)
        if delay is not None and delay > RESUME_WAIT_SECONDS:
            return False
        return self._may_resume_in_zone(target, now)

    def _may_resume_in_zone(self, target: Target, now: float) -> bool:
        if not self._zones.is_evacuated(target.zone, now):
            return True
        order = self._zones.find_order(target.zone)
        if order is None or not order.evacuated:
            return False
        return now - order.since < RESUME_GRACE_SECONDS

    async def acquire_resume_permit(
        self, service: Service, target: Target, team: str
    ) -> None:
        """Wait for a permit to resume a generation at a target.

        :param service: the service of the target
        :param target: the target to resume at
        :param team: the team of the request
        :raises NotPermittedError: when no permit was granted in time
        """
        await self.wait_fresh()
        end = self._clock.monotonic() + RESUME_WAIT_SECONDS
        while self.may_resume(target):
            now = self._clock.monotonic()
            left = end - now
            claim = Claim(team, RESUME_URGENCY, max(0.0, left))
            if self._find_delay(target, now) is None:
                permit = await self.acquire_permit(service, target, claim)
                if permit is not None:
                    return
            if left <= 0.0:
                break
            await self._clock.sleep(RESUME_POLL_SECONDS)
        raise NotPermittedError("no permit to resume at this target")
