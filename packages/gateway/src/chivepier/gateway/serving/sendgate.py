"""What must hold before anything is sent to a target."""

import collections.abc

from chivepier.gateway.config import Service
from chivepier.gateway.limits import RestBoard
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import Permit
from chivepier.gateway.permits import Permits
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import Zones
from chivepier.types import Clock

# Seconds after an evacuation in which a generation may still go on at a copy
# there: stopped at its source, it would be lost.
RESUME_GRACE_SECONDS = 1.0
# Seconds for which a generation that goes on elsewhere waits for leave.
RESUME_WAIT_SECONDS = 1.0
RESUME_POLL_SECONDS = 0.05
# Class of a generation that goes on elsewhere, ahead of all that are new: with
# it all that was read for it would be lost.
RESUME_URGENCY = -1


class SendGate:
    """Knows where nothing new may go, and what targets may be sent.

    :param zones: which zones are evacuated
    :param table: which targets leave
    :param permits: to send to targets that take few
    :param rests: which targets get nothing for a while
    :param freshness: whether orders are known recently enough
    :param clock: monotonic time
    :param metrics: counts what is held back at the last moment
    """

    def __init__(
        self,
        zones: Zones,
        table: TargetTable,
        permits: Permits,
        rests: RestBoard,
        freshness: Freshness,
        clock: Clock,
        metrics: Metrics,
    ):
        self._zones = zones
        self._table = table
        self._permits = permits
        self._rests = rests
        self._metrics = metrics
        self._freshness = freshness
        self._clock = clock

    async def wait_fresh(self) -> None:
        """Return once what is known of orders is recent, or can't be."""
        await self._freshness.wait()

    async def take_permit(
        self, service: Service, target: Target, claim: Claim
    ) -> Permit | None:
        """Return leave to send one request; ``None`` without it."""
        return await self._permits.take(service, target, claim)

    def find_rate(self, target: Target) -> float | None:
        """Return the rate that a target in need takes, if it names one."""
        return self._permits.find_rate(target)

    @property
    def has_limits(self) -> bool:
        """Whether any target is in need."""
        return self._permits.knows_limits

    def find_rates(
        self, targets: collections.abc.Iterable[Target]
    ) -> dict[str, float]:
        """Return the rates of those that are in need, by name."""
        return self._permits.find_rates(targets)

    def find_pause(self, target: Target, claim: Claim) -> float | None:
        """Return the seconds until a target in need is to be asked for."""
        return self._permits.find_pause(target, claim)

    def check(
        self, target: Target, purpose: CallPurpose, permit: Permit
    ) -> None:
        """Look once more, right before anything is sent.

        What waited for room, for a reservation or for a connection may
        meanwhile be meant for a zone that is evacuated.

        :param target: where it is to go
        :param errand: what for
        :param permit: that was taken for it
        :raises NotPermittedError: when it must not be sent there now
        """
        reason = self._find_refusal_reason(target, purpose, permit)
        if reason is not None:
            self._metrics.note_held_back(reason)
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
            case CallPurpose.START if self._table.leaves(target.instance):
                return "leaving"
            case CallPurpose.RESUME if not self._may_resume_in_zone(
                target, now
            ):
                return "evacuated"
        if self._find_rest(target, now) is not None:
            return "rest"
        return "permit" if now > permit.until else None

    def _find_rest(self, target: Target, now: float) -> float | None:
        return self._rests.find_pause(target.instance, target.born, now)

    def note_sent(self, target: Target) -> None:
        """Note that something is being sent to a target."""
        now = self._clock.monotonic()
        self._rests.note_sent(target.instance, target.born, now)

    def may_probe(self, target: Target) -> bool:
        """Tell whether it may be looked whether a target lives."""
        now = self._clock.monotonic()
        if self._zones.is_evacuated(target.zone, now):
            return False
        return self._find_rest(target, now) is None

    def may_resume(self, target: Target) -> bool:
        """Tell whether a generation may go on at a copy at a target.

        It waits for a moment where the target is at rest for no longer.
        """
        now = self._clock.monotonic()
        rest = self._find_rest(target, now)
        if rest is not None and rest > RESUME_WAIT_SECONDS:
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
        """Wait for leave to send a generation that goes on at a target.

        :param service: the target's
        :param target: where it goes on
        :param team: whose it is
        :raises NotPermittedError: without it
        """
        await self.wait_fresh()
        end = self._clock.monotonic() + RESUME_WAIT_SECONDS
        while self.may_resume(target):
            now = self._clock.monotonic()
            left = end - now
            claim = Claim(team, RESUME_URGENCY, max(0.0, left))
            if self._find_rest(target, now) is None:
                permit = await self.take_permit(service, target, claim)
                if permit is not None:
                    return
            if left <= 0.0:
                break
            await self._clock.sleep(RESUME_POLL_SECONDS)
        raise NotPermittedError("no leave to go on there")
