"""Finding a target that has room for a generation now."""

import attrs

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.targetport import TargetPort
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.types import Clock

# Targets that are asked in one round. With the loads of all entries known to
# some tens of milliseconds, the second has room where the first has none.
MOST_ASKED = 3
# Share of the objective for which room is looked for. After that the request
# waits in a target's own queue: the first event may still come in time.
SEARCH_SHARE = 0.5
# Seconds between two rounds; at a full service some generation ends at each
# target every second.
ROUND_PAUSE = 0.1
# Seconds for which room is kept: until the request has arrived and is read.
KEPT_SECONDS = 1.0


@attrs.frozen
class Place:
    """Where a request goes.

    :param target: the target
    :param reservation: of room there, if one was had
    """

    target: Target
    reservation: str | None = None


class Placing:
    """Reserves room at the best target before a request is sent.

    A request that is sent to a full target waits there, though another one
    has room: what is known of loads is old by some tens of milliseconds, and
    how long generations get is a guess. A reservation is refused at once,
    and what is granted is admitted first and not preempted meanwhile.

    :param chooser: orders the targets
    :param health: learns which can't be reached
    :param port: the protocol towards targets
    :param clock: monotonic time
    :param log: decisions on requests
    """

    def __init__(
        self,
        chooser: Chooser,
        health: TargetHealth,
        port: TargetPort,
        clock: Clock,
        log: EventLog,
    ):
        self._chooser = chooser
        self._health = health
        self._port = port
        self._clock = clock
        self._log = log

    async def find(self, plan: Plan, tried: set[str]) -> Place | None:
        """Pick a target, with room where that can be reserved.

        :param plan: the request's
        :param tried: instances that must not be picked
        :returns: the place; ``None`` when no target is left
        """
        engine = plan.service.engine
        if plan.demand is None or engine is None or not engine.reserve_seconds:
            ranked = self._rank(plan, tried)
            return Place(ranked[0]) if ranked else None
        end = plan.request.arrived + SEARCH_SHARE * plan.route.objective
        asked = 0
        while True:
            ranked = self._rank(plan, tried)
            roomy = [t for t in ranked if self._has_room(plan, t)]
            for target in roomy[:MOST_ASKED]:
                asked += 1
                reservation = await self._reserve(plan, target)
                if reservation is not None:
                    return Place(target, reservation)
            if not ranked or self._clock.monotonic() >= end:
                break
            await self._clock.sleep(ROUND_PAUSE)
        self._log.info("no_room", id=plan.request.id, asked=asked)
        return Place(ranked[0]) if ranked else None

    def _has_room(self, plan: Plan, target: Target) -> bool:
        engine = plan.service.engine
        return self._chooser.has_room(target, engine, plan.demand)

    def _rank(self, plan: Plan, tried: set[str]) -> list[Target]:
        service = plan.service
        return self._chooser.rank(
            service.name, service.engine, plan.demand, tried
        )

    async def _reserve(self, plan: Plan, target: Target) -> str | None:
        seconds = min(KEPT_SECONDS, plan.service.engine.reserve_seconds)
        try:
            return await self._port.reserve(
                target, plan.demand.tokens, seconds
            )
        except NotSentError as error:
            self._health.note_silence(target.instance, self._clock.monotonic())
            self._log.warn(
                "reserve_failed",
                id=plan.request.id,
                target=target.instance,
                error=str(error),
            )
            return None
