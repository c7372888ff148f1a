"""Handling one request from its arrival to its end."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.callerconnection import CallerConnection
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.departure import Departure
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.planner import Planner
from chivepier.gateway.serving.relay import Relay
from chivepier.gateway.serving.requesthold import RequestHold
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.shedding import Shedding
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

# Maximum wait of a request for the first configuration of an entry that has
# just started.
FIRST_CONFIG_TIMEOUT_SECONDS = 0.6
# Seconds without a written part after which an answer counts as unread once
# its deadline is over: a socket takes more only when a part of its buffer, of
# up to some megabytes, was read.
UNREAD_SECONDS = 30.0
# Bytes of a whole answer written at a time: what a connection buffers.
PART_BYTES = 64 << 10


class RequestHandler:
    """Handles the requests of callers at an entry.

    :param state: the active configuration
    :param planner: determines the route, team and service
    :param dispatcher: sends requests to targets
    :param metrics: counts requests
    :param shedding: decides when new requests are refused; never by default
    """

    def __init__(
        self,
        state: ServingState,
        planner: Planner,
        dispatcher: Dispatcher,
        metrics: Metrics,
        shedding: Shedding | None = None,
    ):
        self._metrics = metrics
        self._state = state
        self._planner = planner
        self._dispatcher = dispatcher
        self._shedding = shedding

    @property
    def active(self) -> int:
        """Number of requests that have no whole answer yet."""
        return self._dispatcher.departure.active

    @property
    def departure(self) -> Departure:
        """What is still taken, and how it ends, once it is to stop."""
        return self._dispatcher.departure

    @property
    def is_shedding(self) -> bool:
        """Whether new requests are refused to save the instance."""
        return self._shedding is not None and bool(self._shedding.shortage)

    def check_room(self, request_id: str) -> None:
        """Refuse a new request near the limits of this instance.

        :param request_id: id of the request, empty if it has none
        :raises RequestError: if it is refused; it has not run
        """
        if not self.is_shedding:
            return
        error = self._shedding.make_error()
        shortage = self._shedding.shortage.value
        self._metrics.record_shed(shortage)
        self._metrics.record_request("", "", error.failure.kind.value, 0.0)
        self._dispatcher.log.warn(
            "request_shed",
            id=request_id,
            shortage=shortage,
            retry_ms=round(1000 * error.failure.retry_after.total_seconds()),
        )
        raise error

    async def serve(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        """Handle a request and relay the answer to the caller.

        :param request: the request of the caller
        :param caller: connection to the caller
        :raises RequestError: if it fails before anything was sent to the
            caller
        """
        self.check_room(request.id)
        clock, log = self._dispatcher.clock, self._dispatcher.log
        outcome, plan = "cancelled", None
        reason: dict[str, str] = {}
        try:
            async with self._hold(request, caller) as hold:
                if self._state.index is None:
                    await self._state.changed.wait(
                        FIRST_CONFIG_TIMEOUT_SECONDS
                    )
                plan = self._plan(request)
                now = clock.monotonic()
                self._dispatcher.budget.note_request(plan.service.name, now)
                hold.ran = Ran.UNKNOWN
                await self._answer(plan, caller)
                outcome = "answered"
        except RequestError as error:
            outcome = error.failure.kind.value
            if error.failure.kind is ErrorKind.NOT_READY:
                reason["reason"] = error.failure.message
            raise
        finally:
            seconds = clock.monotonic() - request.arrived
            team, urgency = _get_class_labels(plan)
            self._metrics.record_request(team, urgency, outcome, seconds)
            write = log.info if outcome == "answered" else log.warn
            write(
                "request_ended",
                id=request.id,
                path=request.path,
                team=team,
                outcome=outcome,
                ms=round(1000 * seconds),
                **reason,
            )

    async def serve_forwarded(
        self, request: CallerRequest, caller: CallerConnection, runs: int
    ) -> None:
        """Handle a request of a caller that asked another entry.

        That entry counts and logs it as its own.

        :param request: the request of the caller
        :param caller: takes the answer for the other entry
        :param runs: number of targets that may have run it already
        :raises RequestError: if it fails before anything was answered
        :raises NotSentError: if this entry can't reach its targets either
        """
        async with self._hold(request, caller) as hold:
            plan = self._plan(request)
            self._check_reach(plan)
            hold.ran = Ran.UNKNOWN
            try:
                await self._answer(plan, caller, runs, may_forward=False)
            except RequestError as error:
                if error.failure.ran is Ran.NO:
                    # it may just have been found out
                    self._check_reach(plan)
                raise

    def _check_reach(self, plan: Plan) -> None:
        if self._dispatcher.detour.is_cut_off(plan):
            raise NotSentError("its targets are out of reach here, too")

    @contextlib.asynccontextmanager
    async def _hold(
        self, request: CallerRequest, caller: CallerConnection
    ) -> collections.abc.AsyncIterator[RequestHold]:
        """Answer a request at the latest when this process ends.

        An answer that has begun is aborted, whatever fails: it must not look
        complete, and a second one behind it would be taken for a part of it.
        """
        hold = None
        try:
            async with self.departure.hold() as hold:
                yield hold
        except (RequestError, NotSentError) as error:
            if hold is not None and hold.ended:
                self._note_cut(request, caller)
            elif caller.begun:
                self._note_broken_off(request, error)
            if not caller.begun:
                raise
            caller.abort()

    def _note_broken_off(
        self, request: CallerRequest, error: Exception
    ) -> None:
        self._dispatcher.log.warn(
            "answer_broken_off",
            id=request.id,
            path=request.path,
            error=repr(error),
        )

    def _note_cut(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        clock = self._dispatcher.clock
        left = request.deadline - clock.monotonic()
        self._dispatcher.log.warn(
            "cut_by_stop",
            id=request.id,
            path=request.path,
            ms=round(1000 * (clock.monotonic() - request.arrived)),
            left_ms=round(1000 * left),
            begun=caller.begun,
        )

    def _plan(self, request: CallerRequest) -> Plan:
        plan = self._planner.plan(request)
        self.departure.check(plan)
        return plan

    async def _answer(
        self,
        plan: Plan,
        caller: CallerConnection,
        runs: int = 0,
        may_forward: bool = True,
    ) -> None:
        dispatcher = self._dispatcher
        plan = await dispatcher.continuations.bind(plan)
        sent = await dispatcher.dispatch(plan, runs, may_forward)
        if sent.run is not None:
            await self._stream(plan, caller, sent)
            return
        try:
            await self._deliver(plan, caller, sent)
        finally:
            dispatcher.release(sent)

    async def _deliver(
        self, plan: Plan, caller: CallerConnection, sent
    ) -> None:
        """Send a whole answer, however late, to a caller that reads it.

        One that is left unread would take memory for as long as the connection
        lasts, so it is dropped when nobody waits for it any more.
        """
        dispatcher, answer = self._dispatcher, sent.answer
        left = plan.deadline - dispatcher.clock.monotonic()
        deadline = asyncio.get_running_loop().time() + left
        size = len(sent.body)
        try:
            async with asyncio.timeout(None) as limit:
                _extend(limit, deadline)
                await caller.begin(answer.status, answer.headers, size)
                for start in range(0, size, PART_BYTES):
                    _extend(limit, deadline)
                    await caller.write(sent.body[start : start + PART_BYTES])
                await caller.finish(answer.facts.proves_end)
        except TimeoutError:
            dispatcher.log.warn("answer_unread", id=plan.request.id)
            caller.abort()

    async def _stream(
        self, plan: Plan, caller: CallerConnection, sent
    ) -> None:
        clock = self._dispatcher.clock
        try:
            async with asyncio.timeout(plan.deadline - clock.monotonic()):
                relay = Relay(self._dispatcher, plan, caller, self._metrics)
                await relay.run(sent)
        except TimeoutError:
            self._dispatcher.log.warn("deadline_over", id=plan.request.id)
            caller.abort()


def _extend(limit: asyncio.Timeout, deadline: float) -> None:
    """Give a caller until its deadline, or some seconds if that is later."""
    now = asyncio.get_running_loop().time()
    limit.reschedule(max(deadline, now + UNREAD_SECONDS))


def _get_class_labels(plan: Plan | None) -> tuple[str, str]:
    if plan is None:
        return "", ""
    return plan.team or "", str(plan.urgency)
