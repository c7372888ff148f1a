"""Who may take scarce room at targets."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.classreserve import ClassReserve
from chivepier.gateway.serving.classreserve import find_reserve
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.queueticket import QueueTicket
from chivepier.gateway.serving.startestimate import StartEstimate
from chivepier.gateway.serving.teamshares import find_debtors
from chivepier.gateway.serving.waitstage import compute_rank
from chivepier.gateway.serving.waitstage import WaitStage
from chivepier.gateway.targets import ANY_TARGET
from chivepier.gateway.targets import ClassUsage
from chivepier.gateway.targets import HoldEstimator
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import Target
from chivepier.types import Clock


class RoomAdvisor:
    """Applies what all entries hold and wait for to one waiting request.

    The decisions themselves are pure: ``ClassReserve``, ``StartEstimate`` and
    ``find_debtors``. What they decided against a request is logged once.

    :param balancer: tells the free room of targets
    :param queues: what classes and teams hold and wait for at all entries
    :param holds: how long generations hold their room
    :param clock: source of monotonic time
    :param log: receives the decisions against requests
    :param metrics: counts these, and observes the waits
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        queues: QueueTracker,
        holds: HoldEstimator,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._balancer = balancer
        self._queues = queues
        self._holds = holds
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def is_on(self, plan: Plan) -> bool:
        """Tell whether classes of a request's service leave room at all."""
        return self._queues.is_patient(plan.service.name)

    def estimate_start(
        self, plan: Plan, rank: int, ticket: QueueTicket
    ) -> StartEstimate:
        """Estimate when a request starts.

        :param plan: the plan of the request
        :param rank: requests of lower rank go first
        :param ticket: shows whether it is counted itself
        """
        service, now = plan.service, self._clock.monotonic()
        usages = self._queues.list_usage(service.name, now)
        rooms = self._balancer.list_free(
            service.name, service.engine, plan.eligibility
        )
        free = sum(rooms.values())
        # what is kept at other targets isn't known
        if plan.eligibility == ANY_TARGET:
            reserve = self._find_reserve(plan, usages, len(rooms))
            free -= reserve.tokens if reserve else 0.0
        seconds = self._holds.estimate(service.name, now)
        ahead = self._queues.count_tokens_ahead(service.name, rank, now)
        if ticket.rank is not None and ticket.rank < rank:
            ahead -= plan.demand.near_term_tokens
        held = sum(usage.held for usage in usages)
        return StartEstimate(
            tokens=plan.demand.near_term_tokens,
            ahead=max(0, ahead),
            free=max(0.0, free),
            rate=held / seconds if seconds else None,
        )

    def select_roomy(
        self, plan: Plan, found: list[Target], ticket: QueueTicket
    ) -> list[Target]:
        """Return the targets at which more urgent classes still find room."""
        if not found:
            return found
        service, tokens = plan.service, plan.demand.near_term_tokens
        now = self._clock.monotonic()
        usages = self._queues.list_usage(service.name, now)
        if all(usage.urgency >= plan.urgency for usage in usages):
            return found
        free = self._balancer.list_free(service.name, service.engine)
        reserve = self._find_reserve(plan, usages, len(free))
        if reserve is None:
            return found
        allowed = reserve.select(free, tokens)
        if not allowed and not ticket.leaves_room:
            ticket.leaves_room = True
            self._metrics.record_room_kept(str(plan.urgency))
            self._log.info(
                "room_kept",
                id=plan.request.id,
                service=service.name,
                urgency=plan.urgency,
                tokens=tokens,
                places=reserve.places,
                place_tokens=round(reserve.size),
                free=round(sum(free.values())),
                held={usage.urgency: usage.held for usage in usages},
            )
        # silent targets are no part of the free room, but may be all it has
        return [
            target
            for target in found
            if target.instance in allowed or target.instance not in free
        ]

    def _find_reserve(
        self, plan: Plan, usages: list[ClassUsage], targets: int
    ) -> ClassReserve | None:
        return find_reserve(
            usages,
            plan.urgency,
            plan.demand.near_term_tokens,
            plan.service.engine.memory_tokens,
            targets,
        )

    def count_creditors(self, plan: Plan, stage: WaitStage) -> int:
        """Count waiting requests that go first, as their teams took less.

        They are of the same rank, and the request's team has taken more than
        its share lately; otherwise there are none.
        """
        service, team = plan.service.name, plan.team
        if not team or not self._queues.is_patient(service):
            return 0
        now = self._clock.monotonic()
        self._queues.sample(now)
        rank = compute_rank(plan, stage)
        waiting = self._queues.count_waiting(service, rank, now)
        if not waiting:
            return 0
        teams = self._queues.teams
        debtors = find_debtors(self._find_taken(plan))
        if team not in debtors:
            return 0
        return max(
            0,
            waiting
            - sum(
                teams.count_waiting(service, rank, debtor, now)
                for debtor in debtors
            ),
        )

    def note_behind(
        self, plan: Plan, others: int, ticket: QueueTicket
    ) -> None:
        """Log that a request was left out of a round for other teams.

        :param plan: the plan of the request
        :param others: number of requests of these that wait
        :param ticket: whether it was logged before
        """
        if ticket.behind:
            return
        ticket.behind = True
        taken = self._find_taken(plan)
        self._metrics.record_team_wait(str(plan.urgency))
        self._log.info(
            "team_waits",
            id=plan.request.id,
            service=plan.service.name,
            urgency=plan.urgency,
            team=plan.team,
            others=others,
            taken=round(taken.get(plan.team, 0.0)),
            teams=len(taken),
        )

    def note_wait_start(
        self, plan: Plan, estimate: StartEstimate, ticket: QueueTicket
    ) -> None:
        """Observe the expected wait of a request that begins to wait."""
        if ticket.since is not None:
            return
        ticket.since = self._clock.monotonic()
        if estimate.seconds is not None:
            self._metrics.record_room_wait(
                str(plan.urgency), "expected", estimate.seconds
            )

    def note_wait_end(self, plan: Plan, ticket: QueueTicket) -> None:
        """Observe the real wait of a request that has found room."""
        if ticket.since is not None:
            waited = self._clock.monotonic() - ticket.since
            self._metrics.record_room_wait(str(plan.urgency), "real", waited)

    def note_refusal(self, plan: Plan) -> None:
        """Count a request that is refused as it would start too late."""
        self._metrics.record_refused_early(str(plan.urgency))

    def _find_taken(self, plan: Plan) -> dict[str, float]:
        return self._queues.teams.list_taken(plan.service.name, plan.urgency)
