"""Grants of permits to send requests to rate-limited targets."""

import random

import attrs

from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import FairScheduler
from chivepier.gateway.permits import MAX_PERMIT_SECONDS
from chivepier.gateway.permits import MAX_WINDOW_SECONDS
from chivepier.gateway.permits import SendDecision
from chivepier.gateway.permits import SlidingWindowLimiter
from chivepier.types import Clock
from chivepier.wire import LinkError

# Seconds for which turns that a leader has granted may still come. An election
# takes longer, but a leader that resigns has its successor at once.
TURN_SECONDS = 1.0


class PermitService:
    """Forwards permit requests to the leader, and answers them as leader.

    Only the leader grants permits, while it holds its lease, which excludes
    any other leader. A new leader does not know the permits of its predecessor
    and waits until they have expired. Otherwise two voters could each grant a
    target's full rate within the same second.

    :param leader: client for requests to the leader
    :param clock: monotonic clock
    :param log: receives requests that no leader answered
    :param rng: randomizes the order among the claims of many entries
    """

    def __init__(
        self,
        leader: LeaderClient,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ):
        self._leader = leader
        self._clock = clock
        self._log = log
        self._ledger = SlidingWindowLimiter()
        self._turns = FairScheduler(rng)

    async def handle(self, request: PermitRequest) -> PermitAnswer:
        """Answer a permit request, forwarding it to the leader if necessary.

        :param request: request for one send to one target
        """
        if request.is_forwarded:
            # a leader without a lease takes itself for the leader, and two
            # voters may take each other for it
            return await self._grant(request)
        try:
            return await self._leader.request(
                attrs.evolve(request, is_forwarded=True),
                min(request.permit_seconds, MAX_PERMIT_SECONDS),
                self._grant,
            )
        except (LinkError, TimeoutError) as error:
            # No retry: a later answer is of no use to the entry.
            self._log.info(
                "permit_unasked", target=request.instance, error=str(error)
            )
            return PermitAnswer(False, has_leader=False)

    async def _grant(self, request: PermitRequest) -> PermitAnswer:
        since = self._leader.replica.leads_since()
        if since is None:
            return PermitAnswer(False, has_leader=False)
        now = self._clock.monotonic()
        if request.cold_limit and now - since < MAX_WINDOW_SECONDS:
            return PermitAnswer(False)
        turn = self._claim_turn(request, now, since)
        if not turn.granted:
            return PermitAnswer(False, turn.wait)
        if request.cold_limit and not self._ledger.acquire(
            request.instance,
            request.cold_limit,
            now,
            min(request.permit_seconds, MAX_PERMIT_SECONDS),
        ):
            return PermitAnswer(False)
        return PermitAnswer(True, turn.wait)

    def _claim_turn(
        self, request: PermitRequest, now: float, since: float
    ) -> SendDecision:
        if request.rate < 0:
            return SendDecision(True, 0.0)
        claim = Claim(request.team, request.urgency, request.max_wait)
        granted_until = self._leader.replica.heard_leader_at() + TURN_SECONDS
        return self._turns.acquire(
            request.instance,
            request.rate,
            claim,
            now,
            max(since, granted_until),
        )
