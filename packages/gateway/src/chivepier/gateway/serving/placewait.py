"""Waiting for a place at a target."""

import collections.abc

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.errors import PlacesTakenError
from chivepier.gateway.serving.placeoutcome import PlaceOutcome
from chivepier.gateway.serving.placequeue import PlaceQueue
from chivepier.gateway.serving.placeticket import PlaceTicket
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import PlaceReport
from chivepier.gateway.targets import Target
from chivepier.types import Clock

# Interval at which a waiting request looks for a place, as reports get lost
# and old: a fraction of the shortest objectives.
POLL_SECONDS = 0.01
# Lower bound of a wait: a shorter one may end before time has passed.
MIN_POLL_SECONDS = 0.001
# Bound of a log line; the others are fuller.
MAX_LOGGED_REPORTS = 8

Rank = collections.abc.Callable[[], list[Target]]


class PlaceWait:
    """Holds requests at this entry while all targets report to be full.

    Nothing is sent meanwhile, so nothing has run. Afterwards a request is sent
    as without the wait, which only takes a part of its objective.

    :param balancer: knows the places of targets
    :param gate: knows rate limits, whose turns order requests on their own
    :param state: whether this entry is about to end
    :param clock: source of monotonic time
    :param log: receives a line for each request that waited
    :param metrics: receives how many wait, and how long
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        gate: SendGate,
        state: ServingState,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._balancer = balancer
        self._gate = gate
        self._state = state
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._queue = PlaceQueue()

    async def wait(self, plan: Plan, rank: Rank, until: float) -> list[Target]:
        """Wait until a target may have a place.

        :param plan: the plan of a request that is no generation
        :param rank: ranks the candidates
        :param until: until when it may wait, in monotonic seconds
        :returns: the ranked candidates
        :raises PlacesTakenError: if it would begin beyond its deadline
        """
        ranked = rank()
        places = self._find_places(plan, ranked)
        if places is None:
            return ranked
        with self._queue.enter(
            plan.service.name,
            plan.urgency,
            plan.request.arrived,
            until,
            plan.deadline,
        ) as ticket:
            now = self._clock.monotonic()
            outcome = self._queue.decide(ticket, places, now)
            if outcome is PlaceOutcome.FULL:
                return await self._wait_turn(plan, rank, ticket, places)
            self._check_hope(outcome, ticket, places)
            return ranked

    async def _wait_turn(
        self,
        plan: Plan,
        rank: Rank,
        ticket: PlaceTicket,
        places: list[PlaceReport],
    ) -> list[Target]:
        began = now = self._clock.monotonic()
        self._note_count(ticket)
        outcome = PlaceOutcome.LEFT
        try:
            while True:
                left = ticket.until - now
                await self._balancer.request_cost.changed.wait(
                    min(POLL_SECONDS, max(MIN_POLL_SECONDS, left))
                )
                await self._gate.wait_fresh()
                ranked = rank()
                now = self._clock.monotonic()
                found = self._find_places(plan, ranked)
                outcome = self._queue.decide(ticket, found, now)
                places = found or places
                if outcome is not PlaceOutcome.FULL:
                    break
                outcome = PlaceOutcome.LEFT
        finally:
            self._note_end(plan, ticket, outcome, began, places)
        self._check_hope(outcome, ticket, places)
        return ranked

    def _find_places(
        self, plan: Plan, ranked: list[Target]
    ) -> list[PlaceReport] | None:
        """Return the places of all candidates, ``None`` if it must not wait.

        Engines report generations, whose length says nothing of other
        requests.
        """
        if plan.service.engine is not None or self._state.ends_at is not None:
            return None
        if self._gate.has_limits and self._gate.find_rates(ranked):
            return None
        now = self._clock.monotonic()
        return self._balancer.request_cost.find_places(ranked, now)

    def _check_hope(
        self,
        outcome: PlaceOutcome,
        ticket: PlaceTicket,
        places: list[PlaceReport],
    ) -> None:
        if outcome is not PlaceOutcome.HOPELESS:
            return
        start = self._queue.estimate_start(ticket, places)
        raise PlacesTakenError(start or 0.0, _describe(places))

    def _note_count(self, ticket: PlaceTicket) -> None:
        service, urgency = ticket.service, ticket.urgency
        count = self._queue.count(service, urgency)
        self._metrics.set_place_waiting(service, str(urgency), count)

    def _note_end(
        self,
        plan: Plan,
        ticket: PlaceTicket,
        outcome: PlaceOutcome,
        began: float,
        places: list[PlaceReport],
    ) -> None:
        service, urgency = ticket.service, ticket.urgency
        seconds = self._clock.monotonic() - began
        label = str(urgency)
        left = self._queue.count(service, urgency) - 1
        self._metrics.set_place_waiting(service, label, left)
        self._metrics.record_place_wait(service, label, outcome.value, seconds)
        self._log.info(
            "place_waited",
            id=plan.request.id,
            service=service,
            urgency=urgency,
            ms=round(1000 * seconds),
            outcome=outcome.value,
            reports=_describe(places),
        )


def _describe(places: list[PlaceReport]) -> dict[str, str]:
    """Return requests, slots and age of the reports with most room."""
    return {
        place.instance: (
            f"{place.requests}/{place.slots} {round(1000 * place.age)} ms"
        )
        for place in sorted(places, key=_get_excess)[:MAX_LOGGED_REPORTS]
    }


def _get_excess(place: PlaceReport) -> int:
    return place.left - place.slots
