"""Assigning a request to a target that has room for it."""

import collections.abc
import functools

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.permits import Claim
from chivepier.gateway.serving.assignment import Assignment
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.errors import AllBackedOffError
from chivepier.gateway.serving.errors import NoCapacityError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.errors import RateLimitedError
from chivepier.gateway.serving.placewait import PlaceWait
from chivepier.gateway.serving.placewait import Rank
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.queueticket import QueueTicket
from chivepier.gateway.serving.roomadvisor import RoomAdvisor
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.serving.waitstage import classify_wait
from chivepier.gateway.serving.waitstage import compute_rank
from chivepier.gateway.serving.waitstage import MAX_WAIT_OBJECTIVES
from chivepier.gateway.serving.waitstage import may_await_fit
from chivepier.gateway.serving.waitstage import WaitStage
from chivepier.gateway.targets import ANY_TARGET
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import PaceSurvey
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.types import Clock

# Targets asked for a reservation in one round. Load reports are some tens of
# milliseconds old, so a target ranked second may have room when the first has
# none.
MAX_TARGETS_PER_ROUND = 3
# Interval between two rounds of reservation attempts. At a fully loaded
# service, each target finishes about one generation a second.
ROUND_INTERVAL_SECONDS = 0.1
# Maximum lifetime of a reservation, which has to last until the request has
# reached the target and has been parsed.
MAX_RESERVATION_SECONDS = 1.0
# Maximum wait of a non-streaming call for its turn at a rate-limited target,
# as a fraction of its latency objective; the rest is left for processing.
MAX_TURN_WAIT_FRACTION = 0.5


class TargetAssigner:
    """Reserves room at the best target before a request is sent.

    Load reports are some tens of milliseconds old and output lengths are
    estimates, so a request sent without a reservation may queue at a full
    target while another one has room. A target answers a reservation at once;
    a request with a reservation is admitted first and not preempted.

    Requests that find no room wait in the gateway. In the queue of a target
    they would be lost if it shut down, and requests that have already missed
    their objective would delay newer ones.

    :param balancer: ranks the targets
    :param health: tracks unreachable targets
    :param queues: numbers of requests waiting at all entries
    :param room: decides who may take scarce room
    :param calls: sends reservations to targets
    :param guard: blocks requests that crash targets
    :param gate: decides what may be sent to which target
    :param places: holds plain requests while all targets are full
    :param clock: source of monotonic time
    :param log: receives assignment events
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        health: TargetHealth,
        queues: QueueTracker,
        room: RoomAdvisor,
        calls: TargetCalls,
        guard: CrashGuard,
        gate: SendGate,
        places: PlaceWait,
        clock: Clock,
        log: EventLog,
    ):
        self._room = room
        self._balancer = balancer
        self._health = health
        self._queues = queues
        self._calls = calls
        self._guard = guard
        self._gate = gate
        self._places = places
        self._clock = clock
        self._log = log

    async def find_assignment(
        self,
        plan: Plan,
        tried: set[str],
        is_given_up: collections.abc.Callable[[], bool] = lambda: False,
    ) -> Assignment | None:
        """Choose a target, with a reservation if it supports them.

        :param plan: the plan of the request
        :param tried: instances that must not be chosen
        :param is_given_up: tells whether to wait no longer for room
        :returns: the assignment; ``None`` when no target is left, or when the
            request must no longer be sent
        :raises NoCapacityError: when none had room for too long
        :raises RateLimitedError: when the rate limits of all are used up
        :raises AllBackedOffError: when all back off for too long
        """
        engine = plan.service.engine
        if plan.demand is None or engine is None or not engine.reserve_seconds:
            await self._await_backoffs(plan)
            return await self._assign_unreserved(plan, tried)
        with QueueTicket(
            self._queues,
            plan.service.name,
            plan.demand.near_term_tokens,
            plan.team or "",
        ) as ticket:
            while not self._guard.is_held(plan) and not is_given_up():
                await self._await_backoffs(plan, ticket)
                if not self._rank_targets(plan, tried):
                    break
                stage = self._classify_wait(plan)
                all_limited = self._check_rate_limits(plan)
                if stage is WaitStage.OVER:
                    self._log.info("no_room", id=plan.request.id)
                    raise NoCapacityError(
                        self._room.estimate_start(
                            plan, plan.urgency + 1, ticket
                        ),
                        early=False,
                    )
                for target in self._select_targets(plan, stage, tried, ticket):
                    assignment = await self._try_target(
                        plan, target, all_limited
                    )
                    if assignment is not None:
                        self._room.note_wait_end(plan, ticket)
                        return assignment
                self._check_start(plan, stage, tried, ticket)
                ticket.set_rank(compute_rank(plan, stage))
                await self._clock.sleep(ROUND_INTERVAL_SECONDS)
                await self._gate.wait_fresh()
        return None

    def _check_start(
        self,
        plan: Plan,
        stage: WaitStage,
        tried: set[str],
        ticket: QueueTicket,
    ) -> None:
        """Reject a request that clearly can't start in time.

        Checked at its arrival, and when it becomes late.

        :raises NoCapacityError: unless it may, or room for it is free
        """
        rank = compute_rank(plan, stage)
        if rank == ticket.rank or not self._room.is_on(plan):
            return
        now = self._clock.monotonic()
        # those that are in the rank that it enters came earlier
        estimate = self._room.estimate_start(plan, rank + 1, ticket)
        self._room.note_wait_start(plan, estimate, ticket)
        left = self._compute_latest_start(plan) - now
        # who waits for which targets isn't told
        restricted = plan.eligibility != ANY_TARGET
        if restricted or not estimate.is_beyond(left):
            return
        roomy = self._rank_targets(plan, tried, exclude_full=True)
        if not self._room.select_roomy(plan, roomy, ticket):
            self._room.note_refusal(plan)
            raise NoCapacityError(estimate, early=True)

    async def _await_backoffs(
        self, plan: Plan, ticket: QueueTicket | None = None
    ) -> None:
        """Wait while all targets back off, if one is available soon enough.

        :param plan: the plan of the request
        :param ticket: counts the request as waiting
        :raises AllBackedOffError: if no target is available in time
        """
        service = plan.service.name
        while True:
            pause = self._balancer.find_shortest_backoff(
                service, plan.eligibility
            )
            if pause is None:
                return
            now = self._clock.monotonic()
            if now + pause > self._compute_latest_start(plan):
                raise AllBackedOffError(pause)
            if ticket is not None:
                ticket.set_rank(self._compute_rank(plan))
            await self._clock.sleep(pause)

    def _compute_latest_start(self, plan: Plan) -> float:
        """Return the latest time until which a request waits for a target."""
        share = (
            MAX_TURN_WAIT_FRACTION
            if plan.demand is None
            else MAX_WAIT_OBJECTIVES
        )
        last = plan.request.arrived + share * plan.route.objective
        return min(last, plan.deadline)

    async def _assign_unreserved(
        self, plan: Plan, tried: set[str]
    ) -> Assignment | None:
        # targets being avoided are ranked once no other is left: they may
        # have room while all others are rate-limited
        rank = functools.partial(self._rank_targets, plan, tried)
        while ranked := await self._find_places(plan, rank):
            assignment = await self._permit_first(plan, ranked, tried)
            if assignment is not None:
                return assignment
        rate = self._sum_rate_limits(plan)
        if rate is not None:
            raise RateLimitedError(rate)
        return None

    async def _find_places(self, plan: Plan, rank: Rank) -> list[Target]:
        """Return the candidates, once one of them may have a place."""
        if plan.demand is not None:
            return rank()
        processing = MAX_TURN_WAIT_FRACTION * plan.route.objective
        until = min(
            self._compute_latest_start(plan), plan.deadline - processing
        )
        return await self._places.wait(plan, rank, until)

    async def _permit_first(
        self, plan: Plan, ranked: list[Target], tried: set[str]
    ) -> Assignment | None:
        """Return the first target with a permit; add others to ``tried``."""
        limited = self._gate.find_rates(ranked)
        may_wait = len(limited) == len(ranked) and self._are_all_limited(plan)
        claim = self._make_claim(plan, may_wait)
        asked = 0
        for target in ranked:
            # each permit request delays the caller's request, and all
            # targets may be rate-limited
            left_out = (
                target.instance in limited and asked >= MAX_TARGETS_PER_ROUND
            )
            if not left_out and self._gate.find_backoff(target, claim) is None:
                asked += target.instance in limited
                permit = await self._gate.acquire_permit(
                    plan.service, target, claim
                )
                if permit is not None:
                    return Assignment(target, None, permit)
            tried.add(target.instance)
        return None

    def _are_all_limited(self, plan: Plan) -> bool:
        return self._sum_rate_limits(plan) is not None

    def _sum_rate_limits(self, plan: Plan) -> float | None:
        """Return the sum of the rate limits of all targets.

        :returns: requests per second; ``None`` unless every target is
            rate-limited
        """
        if not self._gate.has_limits:
            return None
        # includes targets being avoided, which announce no limit
        found = self._balancer.select(plan.service.name, plan.eligibility)
        rates = self._gate.find_rates(found)
        if not rates or len(rates) < len(found):
            return None
        return sum(rates.values())

    def _compute_rank(self, plan: Plan) -> int:
        if plan.demand is None:
            return plan.urgency
        return compute_rank(plan, self._classify_wait(plan))

    def _make_claim(self, plan: Plan, may_wait: bool) -> Claim:
        """Build the claim of a request for a turn at a rate-limited target.

        A non-streaming call waits for its turn for a fraction of its latency
        objective. A generation claims a turn again in each round.

        :param plan: the plan of the request
        :param may_wait: whether to wait for the turn, as no target without a
            rate limit is left
        """
        max_wait = 0.0
        if may_wait and plan.demand is None:
            waited = self._clock.monotonic() - plan.request.arrived
            max_wait = MAX_TURN_WAIT_FRACTION * plan.route.objective - waited
        elif may_wait:
            max_wait = ROUND_INTERVAL_SECONDS
        rank = self._compute_rank(plan)
        return Claim(plan.team or "", rank, max(0.0, max_wait))

    async def _try_target(
        self, plan: Plan, target: Target, may_wait: bool
    ) -> Assignment | None:
        claim = self._make_claim(plan, may_wait)
        permit = await self._gate.acquire_permit(plan.service, target, claim)
        if permit is None:
            return None
        if self._gate.find_rate(target) is not None:
            # a reservation would count against its rate limit
            return Assignment(target, None, permit)
        reservation = await self._reserve(plan, target)
        if reservation is None:
            return None
        return Assignment(target, reservation, permit)

    def _check_rate_limits(self, plan: Plan) -> bool:
        """Reject a request that rate-limited targets can't accept in time.

        :returns: whether all targets are rate-limited
        :raises RateLimitedError: when all are rate-limited, and the requests
            ahead of this one use up their limits for too long
        """
        rate = self._sum_rate_limits(plan)
        if rate is None:
            return False
        now = self._clock.monotonic()
        # requests of its own rank are ahead as well: they came earlier
        rank = self._compute_rank(plan) + 1
        ahead = self._queues.count_ahead(plan.service.name, rank, now)
        seconds = self._compute_latest_start(plan) - now
        if ahead > rate * seconds:
            raise RateLimitedError(rate)
        return True

    def _classify_wait(self, plan: Plan) -> WaitStage:
        survey = self._survey_paces(plan)
        reading = self._estimate_reading(plan, survey.typical)
        return classify_wait(plan, self._clock.monotonic(), reading)

    def _survey_paces(self, plan: Plan) -> PaceSurvey:
        return self._balancer.survey_paces(plan.service.name)

    def _estimate_reading(self, plan: Plan, pace: float) -> float:
        return self._balancer.prefill_estimator.estimate(
            plan.service.name, plan.demand.prompt, pace
        )

    def _may_await_fit(self, plan: Plan) -> bool:
        reading = self._estimate_reading(
            plan, self._survey_paces(plan).highest
        )
        return may_await_fit(plan, self._clock.monotonic(), reading)

    def _select_targets(
        self,
        plan: Plan,
        stage: WaitStage,
        tried: set[str],
        ticket: QueueTicket,
    ) -> list[Target]:
        """Return the targets to ask for a reservation in this round."""
        others = self._room.count_creditors(plan, stage)
        waits = others or stage is not WaitStage.PRESSING
        if waits and not self._has_spare_room(plan, stage, others):
            if others:
                self._room.note_behind(plan, others, ticket)
            return []
        claim = self._make_claim(plan, may_wait=False)
        found = [
            target
            for target in self._rank_targets(
                plan,
                tried,
                exclude_full=True,
                exclude_unfit=self._may_await_fit(plan),
            )
            if self._gate.find_backoff(target, claim) is None
        ]
        found = self._room.select_roomy(plan, found, ticket)
        return found[:MAX_TARGETS_PER_ROUND]

    def _has_spare_room(
        self, plan: Plan, stage: WaitStage, others: int
    ) -> bool:
        """Return whether there is room besides that for requests ahead.

        Generations on targets that are leaving go before waiting requests:
        unless they are moved within the notice period, they are lost and
        their prompts have to be prefilled again.
        """
        service = plan.service
        now = self._clock.monotonic()
        rank = compute_rank(plan, stage)
        ahead = self._queues.count_ahead(service.name, rank, now)
        ahead += others + self._balancer.count_leaving(service.name)
        fitting = self._balancer.count_fitting(
            service.name, service.engine, plan.demand, plan.eligibility
        )
        return fitting > ahead

    def _rank_targets(
        self,
        plan: Plan,
        tried: set[str],
        exclude_full: bool = False,
        exclude_unfit: bool = False,
    ) -> list[Target]:
        service = plan.service
        return self._balancer.rank(
            service.name,
            service.engine,
            plan.demand,
            tried,
            exclude_full=exclude_full,
            eligibility=plan.eligibility,
            exclude_unfit=exclude_unfit,
        )

    async def _reserve(self, plan: Plan, target: Target) -> str | None:
        seconds = min(
            MAX_RESERVATION_SECONDS, plan.service.engine.reserve_seconds
        )
        try:
            return await self._calls.reserve(
                target, plan.demand.near_term_tokens, seconds
            )
        except NotPermittedError:
            # the permission was withdrawn meanwhile, which is no failure of
            # the target
            return None
        except NotSentError as error:
            self._balancer.avoidance.avoid(target.instance)
            self._log.warn(
                "reserve_failed",
                id=plan.request.id,
                target=target.instance,
                error=str(error),
            )
            return None
