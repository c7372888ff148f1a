"""Leave for entries to send to targets that take few."""

import random

from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits import Claim
from chivepier.gateway.permits import MOST_PERMIT_SECONDS
from chivepier.gateway.permits import MOST_WINDOW_SECONDS
from chivepier.gateway.permits import PermitLedger
from chivepier.gateway.permits import Turn
from chivepier.gateway.permits import Turns
from chivepier.types import Clock
from chivepier.wire import LinkError


class PermitService:
    """Takes entries' questions to the leader, and answers them there.

    Of the voters only the leader permits anything, while it holds its
    lease: no other one can lead meanwhile. One that has just begun to lead
    knows nothing of what the one before it permitted, and waits until that
    has lapsed. Without this, two voters could each give away all that a
    target bears within the same second.

    :param leader: the way to the leader
    :param clock: monotonic time
    :param log: what this process believes
    :param rng: spreads the claims of many entries
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
        self._ledger = PermitLedger()
        self._turns = Turns(rng)

    async def handle(self, request: PermitRequest) -> PermitAnswer:
        """Answer an entry, or another voter as the leader.

        :param request: for one send to one target
        """
        try:
            return await self._leader.request(
                request,
                min(request.permit_seconds, MOST_PERMIT_SECONDS),
                self._grant,
            )
        except (LinkError, TimeoutError) as error:
            # an answer that comes later is of no use to who asked
            self._log.info(
                "permit_unasked", target=request.instance, error=str(error)
            )
            return PermitAnswer(False, has_leader=False)

    async def _grant(self, request: PermitRequest) -> PermitAnswer:
        since = self._leader.replica.leads_since()
        if since is None:
            return PermitAnswer(False, has_leader=False)
        now = self._clock.monotonic()
        if request.cold_limit and now - since < MOST_WINDOW_SECONDS:
            return PermitAnswer(False)
        turn = self._claim_turn(request, now, since)
        if not turn.granted:
            return PermitAnswer(False, turn.wait)
        if request.cold_limit and not self._ledger.grant(
            request.instance,
            request.cold_limit,
            now,
            min(request.permit_seconds, MOST_PERMIT_SECONDS),
        ):
            return PermitAnswer(False)
        return PermitAnswer(True, turn.wait)

    def _claim_turn(
        self, request: PermitRequest, now: float, since: float
    ) -> Turn:
        if request.rate < 0:
            return Turn(True, 0.0)
        claim = Claim(request.team, request.urgency, request.max_wait)
        return self._turns.claim(
            request.instance, request.rate, claim, now, since
        )
