"""Serving requests through other entries while targets are out of reach."""

import asyncio

import attrs

from chivepier.gateway.reach import Reach
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.continuationjudge import check_continuation
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.forwarder import Forwarder
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.types import Clock


class Detour:
    """Has another entry serve what this one can't send to any target.

    :param reach: whether the targets of a service can be reached
    :param forwarder: forwards requests; ``None`` if there is none
    :param clock: source of monotonic time
    """

    def __init__(
        self, reach: Reach, forwarder: Forwarder | None, clock: Clock
    ):
        self._reach = reach
        self._forwarder = forwarder
        self._clock = clock

    def is_needed(self, plan: Plan) -> bool:
        """Tell whether a request should be forwarded."""
        if plan.request.forwarded or self._reach.may_send(plan.service.name):
            return False
        return self.has_peer(plan)

    def has_peer(self, plan: Plan) -> bool:
        """Tell whether there is an entry to forward a request to."""
        if self._forwarder is None or plan.request.forwarded:
            # one step: entries that each think the other well form no ring
            return False
        return self._forwarder.has_peer(plan)

    def is_cut_off(self, plan: Plan) -> bool:
        """Tell whether no target of a request is in reach from here."""
        return self._reach.is_lost(plan.service.name)

    def is_only_way(self, plan: Plan) -> bool:
        """Tell whether no target is in reach, but a peer is."""
        return self.is_cut_off(plan) and self.has_peer(plan)

    async def start(
        self, plan: Plan, runs: int, run: LiveRun | None = None
    ) -> StartedAnswer | None:
        """Forward a request, or the rest of a stream.

        :param plan: the plan of the request
        :param runs: number of targets that may have run it
        :param run: the stream to be continued; ``None`` for a new request
        :returns: the answer to relay; ``None`` if no entry took the request
        :raises RequestError: when an entry took it and failed
        :raises ConnectionLostError: when the entry that may have taken it was
            lost
        :raises BrokenAnswerError: when its answer is incomplete
        :raises ForeignAnswerError: when it is no rest of the stream
        :raises TimeoutError: when the deadline is over
        """
        request = attrs.evolve(
            plan.request, software_version=plan.software_version
        )
        if run is not None:
            request = attrs.evolve(
                request,
                last_event=run.last_event,
                software_version=run.eligibility.software_version,
            )
        seconds = plan.deadline - self._clock.monotonic()
        answer = None
        try:
            async with asyncio.timeout(seconds):
                peer, answer = await self._forwarder.open(plan, request, runs)
                # a caller that takes up a stream gets a failure as it is
                is_rest = run is not None or (
                    plan.request.takes_up and is_success(answer.status)
                )
                if is_rest:
                    check_continuation(answer)
                return await self._read_start(plan, peer, answer, run)
        except NotSentError:
            return None
        except BaseException:
            if answer is not None:
                answer.close()
            raise

    async def _read_start(
        self, plan: Plan, peer: str, answer: TargetAnswer, run: LiveRun | None
    ) -> StartedAnswer:
        now = self._clock.monotonic()
        target = _make_stand_in(plan, peer, now)
        if plan.route.streaming and is_success(answer.status):
            # until the first event it can be sent again elsewhere
            first = await answer.read()
            if run is None:
                run = LiveRun(plan, target, 0, sent_at=now, heard_at=now)
            run.forward_to(target, self._clock.monotonic())
            return StartedAnswer(target, answer, first, run)
        # the other entry has bounded it
        parts = []
        while data := await answer.read():
            parts.append(data)
        return StartedAnswer(target, answer, b"".join(parts))


def _make_stand_in(plan: Plan, peer: str, now: float) -> Target:
    """Return what stands for the targets behind another entry."""
    return Target(
        instance=peer,
        service=plan.service.name,
        address="",
        zone="",
        state=TargetState.READY,
        number=0,
        slots=0,
        heard=now,
    )
