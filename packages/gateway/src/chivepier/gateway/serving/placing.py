"""Finding a target that has room for a generation now."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.permits import Claim
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.errors import AllAtRestError
from chivepier.gateway.serving.errors import NoCapacityError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.errors import RateLimitedError
from chivepier.gateway.serving.place import Place
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.queueticket import QueueTicket
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.serving.waiting import find_rank
from chivepier.gateway.serving.waiting import find_stage
from chivepier.gateway.serving.waiting import REFUSED_SHARE
from chivepier.gateway.serving.waiting import Stage
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import QueueBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.types import Clock

# Targets that are asked in one round. With the loads of all entries known to
# some tens of milliseconds, the second has room where the first has none.
MOST_ASKED = 3
# Seconds between two rounds; at a full service some generation ends at each
# target every second.
ROUND_PAUSE = 0.1
# Seconds for which room is kept: until the request has arrived and is read.
KEPT_SECONDS = 1.0
# Share of its objective for which a plain call waits for its turn at a target
# in need; the target's work takes some of the rest.
PATIENT_SHARE = 0.5


class Placing:
    """Reserves room at the best target before a request is sent.

    A request that is sent to a full target waits there, though another one
    has room: what is known of loads is old by some tens of milliseconds, and
    how long generations get is a guess. A reservation is refused at once,
    and what is granted is admitted first and not preempted meanwhile.

    Without room requests wait here, not at a target: what was sent to one
    that leaves is lost with it, and in a target's queue the late ones, whose
    answers are worth little more, hold up those that came just now.

    :param chooser: orders the targets
    :param health: learns which can't be reached
    :param queues: what waits at all entries
    :param calls: reaches targets
    :param guard: knows what must not be sent
    :param gate: knows what may be sent where
    :param clock: monotonic time
    :param log: decisions on requests
    """

    def __init__(
        self,
        chooser: Chooser,
        health: TargetHealth,
        queues: QueueBoard,
        calls: TargetCalls,
        guard: CrashGuard,
        gate: SendGate,
        clock: Clock,
        log: EventLog,
    ):
        self._chooser = chooser
        self._health = health
        self._queues = queues
        self._calls = calls
        self._guard = guard
        self._gate = gate
        self._clock = clock
        self._log = log

    async def find(self, plan: Plan, tried: set[str]) -> Place | None:
        """Pick a target, with room where that can be reserved.

        :param plan: the request's
        :param tried: instances that must not be picked
        :returns: the place; ``None`` when no target is left, or the request
            must not be sent any more
        :raises NoCapacityError: when none had room for too long
        :raises RateLimitedError: when all are in need and take no more
        :raises AllAtRestError: when all are at rest for too long
        """
        engine = plan.service.engine
        if plan.demand is None or engine is None or not engine.reserve_seconds:
            await self._await_rests(plan)
            return await self._find_permitted(plan, tried)
        with QueueTicket(self._queues, plan.service.name) as ticket:
            while not self._guard.is_held(plan):
                await self._await_rests(plan, ticket)
                if not self._rank(plan, tried):
                    break
                stage = self._find_stage(plan)
                shortage = self._check_limits(plan)
                if stage is Stage.OVER:
                    self._log.info("no_room", id=plan.request.id)
                    raise NoCapacityError
                for target in self._select(plan, stage, tried):
                    place = await self._take_place(plan, target, shortage)
                    if place is not None:
                        return place
                ticket.wait(find_rank(plan, stage))
                await self._clock.sleep(ROUND_PAUSE)
                await self._gate.wait_fresh()
        return None

    async def _await_rests(
        self, plan: Plan, ticket: QueueTicket | None = None
    ) -> None:
        """Wait while all targets are at rest, if one is back soon enough.

        :param plan: the request's
        :param ticket: shows that it waits
        :raises AllAtRestError: when none is
        """
        service = plan.service.name
        while True:
            pause = self._chooser.find_rest(service, plan.regions)
            if pause is None:
                return
            now = self._clock.monotonic()
            if now + pause > self._find_last_start(plan):
                raise AllAtRestError(pause)
            if ticket is not None:
                ticket.wait(self._find_rank(plan))
            await self._clock.sleep(pause)

    def _find_last_start(self, plan: Plan) -> float:
        """Return until when a request waits for targets that take nothing."""
        share = PATIENT_SHARE if plan.demand is None else REFUSED_SHARE
        last = plan.request.arrived + share * plan.route.objective
        return min(last, plan.deadline)

    async def _find_permitted(
        self, plan: Plan, tried: set[str]
    ) -> Place | None:
        # those that are avoided come once none of the others is left: they
        # may have room, and the others may all be in need
        while ranked := self._rank(plan, tried):
            place = await self._try_ranked(plan, ranked, tried)
            if place is not None:
                return place
        rate = self._find_shortage(plan)
        if rate is not None:
            raise RateLimitedError(rate)
        return None

    async def _try_ranked(
        self, plan: Plan, ranked: list[Target], tried: set[str]
    ) -> Place | None:
        """Pick the first target that may be sent to; note all before it."""
        needy = self._gate.find_rates(ranked)
        patient = len(needy) == len(ranked) and self._is_short(plan)
        claim = self._make_claim(plan, patient)
        asked = 0
        for target in ranked:
            # each question holds the request up, and all may be in need
            left_out = target.instance in needy and asked >= MOST_ASKED
            if not left_out and self._gate.find_pause(target, claim) is None:
                asked += target.instance in needy
                permit = await self._gate.take_permit(
                    plan.service, target, claim
                )
                if permit is not None:
                    return Place(target, None, permit)
            tried.add(target.instance)
        return None

    def _is_short(self, plan: Plan) -> bool:
        return self._find_shortage(plan) is not None

    def _find_shortage(self, plan: Plan) -> float | None:
        """Return the rate that all targets take together.

        :returns: requests a second; ``None`` unless all of them are in need
        """
        if not self._gate.has_limits:
            return None
        # also those that are avoided for a moment: they name no limit
        found = self._chooser.select(plan.service.name, plan.regions)
        rates = self._gate.find_rates(found)
        if not rates or len(rates) < len(found):
            return None
        return sum(rates.values())

    def _find_rank(self, plan: Plan) -> int:
        if plan.demand is None:
            return plan.urgency
        return find_rank(plan, self._find_stage(plan))

    def _make_claim(self, plan: Plan, patient: bool) -> Claim:
        """Build what decides about a request's turn at a target in need.

        A plain call waits for its turn as long as its answer may still come
        in time. A generation asks again with each round.

        :param plan: the request's
        :param patient: whether it waits at all, as no other target is left
        """
        patience = 0.0
        if patient and plan.demand is None:
            waited = self._clock.monotonic() - plan.request.arrived
            patience = PATIENT_SHARE * plan.route.objective - waited
        elif patient:
            patience = ROUND_PAUSE
        rank = self._find_rank(plan)
        return Claim(plan.team or "", rank, max(0.0, patience))

    async def _take_place(
        self, plan: Plan, target: Target, patient: bool
    ) -> Place | None:
        claim = self._make_claim(plan, patient)
        permit = await self._gate.take_permit(plan.service, target, claim)
        if permit is None:
            return None
        if self._gate.find_rate(target) is not None:
            # a reservation would come to it as one more request
            return Place(target, None, permit)
        reservation = await self._reserve(plan, target)
        if reservation is None:
            return None
        return Place(target, reservation, permit)

    def _check_limits(self, plan: Plan) -> bool:
        """Turn away what targets in need can't take before it is too late.

        :returns: whether all targets are in need
        :raises RateLimitedError: when all are in need, and what goes before
            the request takes them too long
        """
        rate = self._find_shortage(plan)
        if rate is None:
            return False
        now = self._clock.monotonic()
        # those of its own rank go first, too: it has just come
        rank = self._find_rank(plan) + 1
        ahead = self._queues.ahead(plan.service.name, rank, now)
        seconds = self._find_last_start(plan) - now
        if ahead > rate * seconds:
            raise RateLimitedError(rate)
        return True

    def _find_stage(self, plan: Plan) -> Stage:
        reading = self._chooser.pace.estimate(
            plan.service.name, plan.demand.prompt
        )
        return find_stage(plan, self._clock.monotonic(), reading)

    def _select(
        self, plan: Plan, stage: Stage, tried: set[str]
    ) -> list[Target]:
        """Pick the targets that are asked in this round."""
        if stage is not Stage.PRESSING and not self._may_go(plan, stage):
            return []
        claim = self._make_claim(plan, patient=False)
        found = [
            target
            for target in self._rank(plan, tried, roomy=True)
            if self._gate.find_pause(target, claim) is None
        ]
        return found[:MOST_ASKED]

    def _may_go(self, plan: Plan, stage: Stage) -> bool:
        """Tell whether there is room beside all that goes first.

        Generations whose target leaves go before all that wait: without a
        place within the notice they are lost, with all that was read.
        """
        service = plan.service
        now = self._clock.monotonic()
        rank = find_rank(plan, stage)
        ahead = self._queues.ahead(service.name, rank, now)
        ahead += self._chooser.count_leaving(service.name)
        places = self._chooser.count_places(
            service.name, service.engine, plan.demand, plan.regions
        )
        return places > ahead

    def _rank(
        self, plan: Plan, tried: set[str], roomy: bool = False
    ) -> list[Target]:
        service = plan.service
        return self._chooser.rank(
            service.name,
            service.engine,
            plan.demand,
            tried,
            roomy=roomy,
            regions=plan.regions,
        )

    async def _reserve(self, plan: Plan, target: Target) -> str | None:
        seconds = min(KEPT_SECONDS, plan.service.engine.reserve_seconds)
        try:
            return await self._calls.reserve(target, plan.demand.soon, seconds)
        except NotPermittedError:
            # it was permitted a moment ago, and says nothing of the target
            return None
        except NotSentError as error:
            self._chooser.avoid(target.instance)
            self._log.warn(
                "reserve_failed",
                id=plan.request.id,
                target=target.instance,
                error=str(error),
            )
            return None
