"""Sending a request until a target answers it."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.serving.assignment import Assignment
from chivepier.gateway.serving.errand import Errand
from chivepier.gateway.serving.errors import AllAtRestError
from chivepier.gateway.serving.errors import AnswerCutError
from chivepier.gateway.serving.errors import LostError
from chivepier.gateway.serving.errors import NoRoomError
from chivepier.gateway.serving.errors import NotPermittedError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.errors import OverLimitError
from chivepier.gateway.serving.guard import Guard
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.rejectionpolicy import RejectionPolicy
from chivepier.gateway.serving.remarks import describe_rest
from chivepier.gateway.serving.retryafterscheduler import RetryAfterScheduler
from chivepier.gateway.serving.retrybudget import RetryBudget
from chivepier.gateway.serving.runwatch import RunWatch
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendorder import SendOrder
from chivepier.gateway.serving.sent import Sent
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.serving.targetassigner import TargetAssigner
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Objectives after which an attempt that could be repeated is given up.
PATIENCE = 2.0
# A target that refused may have room again after so many seconds.
REFUSED_PAUSE = 0.03
SERVER_ERROR = 500
# Urgency at a target of all generations that start there. By class, a short
# answer would preempt a long one, whose whole prompt is then read again.
START_URGENCY = 5


class Dispatcher:
    """Picks targets, one after the other, within what may be repeated.

    :param state: entries that share budgets
    :param table: the targets
    :param chooser: picks among them
    :param health: learns how they answer
    :param board: what runs where
    :param queues: what waits for room
    :param mover: watches generations
    :param calls: reaches targets
    :param budget: bounds repeats
    :param guard: keeps back what ends targets
    :param gate: knows what may be sent where
    :param returns: when refused callers may come back
    :param clock: monotonic time
    :param log: decisions on requests
    """

    def __init__(
        self,
        *,
        state: ServingState,
        table: TargetTable,
        chooser: LoadBalancer,
        health: TargetHealth,
        board: LoadTracker,
        queues: QueueTracker,
        mover: Mover,
        calls: TargetCalls,
        budget: RetryBudget,
        guard: Guard,
        gate: SendGate,
        returns: RetryAfterScheduler,
        clock: Clock,
        log: EventLog,
    ):
        self.state = state
        self.table = table
        self.chooser = chooser
        self.health = health
        self.mover = mover
        self.calls = calls
        self.budget = budget
        self.guard = guard
        self.gate = gate
        self.clock = clock
        self.log = log
        self.runs = RunWatch(board, mover, chooser.prefill_estimator, clock)
        self._refusals = RejectionPolicy(table, clock, returns, log)
        self._placing = TargetAssigner(
            chooser, health, queues, calls, guard, gate, clock, log
        )

    async def dispatch(self, plan: Plan) -> Sent:
        """Send a request until a target runs it.

        :param plan: what to do
        :returns: the answer to be relayed; whoever takes it must call
            :meth:`end`
        :raises RequestError: when it is given up
        """
        tried: set[str] = set()
        runs = rounds = 0
        paid = True
        while True:
            self._refusals.check_deadline(plan, runs)
            self.guard.check(plan, runs)
            await self.gate.settle()
            place = await self._find_place(plan, tried, runs)
            # it may have waited for long
            self.guard.check(plan, runs)
            if place is None:
                rounds += 1
                self._refusals.check_rounds(plan, rounds, bool(tried), runs)
                tried.clear()
                await self.clock.sleep(REFUSED_PAUSE * rounds)
                continue
            if not paid and not self.take_repeat(plan):
                raise self._refusals.make_error(
                    plan, runs, "no repeats are left"
                )
            paid = False
            self._note_place(plan, place)
            target = place.target
            tried.add(target.instance)
            more = plan.repeatable and runs + 1 < plan.route.attempts
            try:
                sent = await self._try(plan, place, more)
            except NotSentError as error:
                self._note_not_sent(plan, target, error)
                # nothing arrived anywhere: the next send is no repeat
                paid = True
                continue
            except (LostError, AnswerCutError, TimeoutError) as error:
                runs += 1
                if not more:
                    self.guard.check(plan, runs)
                    raise self._refusals.make_lost_error(error) from None
                await self.guard.settle(plan, target)
                continue
            if self._refused(plan, target, sent.answer):
                self.end(sent)
                continue
            runs += 1
            if sent.answer.status < SERVER_ERROR:
                if sent.run is None:
                    self.guard.note_answered(plan, sent.answer.facts)
                return sent
            if not more:
                return sent
            # without a repeat, the target's own answer says more than ours
            paid = self._has_time(plan) and self.take_repeat(plan)
            if not paid:
                return sent
            self.end(sent)

    async def _find_place(
        self, plan: Plan, tried: set[str], runs: int
    ) -> Assignment | None:
        try:
            return await self._placing.find_assignment(plan, tried)
        except NoRoomError:
            text = "no target has room"
            raise self._refusals.make_error(plan, runs, text) from None
        except OverLimitError as error:
            raise self._refusals.make_over_limit_error(
                plan, runs, error.rate, self.state.entries
            ) from None
        except AllAtRestError as error:
            raise self._refusals.make_backoff_error(
                plan, runs, error.seconds
            ) from None

    def _note_not_sent(
        self, plan: Plan, target: Target, error: NotSentError
    ) -> None:
        if not isinstance(error, NotPermittedError):
            self._note_silence(target)
        self.log.warn(
            "target_not_sent",
            id=plan.request.id,
            target=target.instance,
            address=target.address,
            error=repr(error),
        )

    def _note_place(self, plan: Plan, place: Assignment) -> None:
        target, demand = place.target, plan.demand
        load = self.chooser.find_load(target.instance)
        now = self.clock.monotonic()
        self.log.info(
            "placed",
            id=plan.request.id,
            target=target.instance,
            ms=round(1000 * (now - plan.request.arrived)),
            heard_ms=round(1000 * (now - target.heard)),
            reserved=place.reservation is not None,
            prompt=demand.prompt if demand else None,
            output=demand.output if demand else None,
            runs=load.runs,
            tokens=load.tokens,
            reading=load.reading,
        )

    def _has_time(self, plan: Plan) -> bool:
        left = plan.deadline - self.clock.monotonic()
        return left > plan.route.objective / 4

    def take_repeat(self, plan: Plan) -> bool:
        """Count one more send of a request, if the budget has one left."""
        now = self.clock.monotonic()
        return self.budget.take(plan.service.name, now, self.state.entries)

    def end(self, sent: Sent) -> None:
        """Give back what an answer holds."""
        if sent.run is not None:
            self.runs.unwatch(sent.run)
            sent.answer.close()
        self.chooser.record_end(sent.target.instance)

    async def _try(self, plan: Plan, place: Assignment, more: bool) -> Sent:
        target = place.target
        seconds = plan.deadline - self.clock.monotonic()
        if more:
            seconds = min(seconds, PATIENCE * plan.route.objective)
        run = None
        if plan.demand is not None:
            run = self.runs.start(plan, target)
        self.chooser.record_start(target.instance)
        began = self.clock.monotonic()
        answer: TargetAnswer | None = None
        try:
            async with run.bound(seconds) if run else asyncio.timeout(seconds):
                answer = await self.calls.send(
                    target,
                    plan.request,
                    self._order(plan, place),
                    Errand.START,
                    place.permit,
                )
                sent = await self._read(plan, target, answer, run)
        except BaseException as error:
            if isinstance(error, (LostError, AnswerCutError, TimeoutError)):
                begun = run.began if run else None
                self._note_silence(target)
                self.note_lost(plan, target, began, begun, error)
            if answer is not None:
                answer.close()
            if run is not None:
                self.runs.give_up(run)
            self.chooser.record_end(target.instance)
            raise
        self._note_answer(plan, sent, began)
        return sent

    async def _read(
        self,
        plan: Plan,
        target: Target,
        answer: TargetAnswer,
        run: LiveRun | None,
    ) -> Sent:
        if answer.facts.crossed:
            raise AnswerCutError("an answer to another request")
        if plan.route.streaming and answer.status < 300:
            # the head alone promises nothing: until the first event the
            # request can still be sent elsewhere
            first = await answer.read()
            if run is None:
                run = self.runs.start(plan, target)
            self.runs.note_begun(run)
            return Sent(target, answer, first, run)
        parts = []
        while data := await answer.read():
            parts.append(data)
        answer.release()
        if run is not None:
            self.runs.give_up(run)
        return Sent(target, answer, b"".join(parts))

    def _order(self, plan: Plan, place: Assignment) -> SendOrder:
        return SendOrder(
            reservation=place.reservation,
            seconds=plan.deadline - self.clock.monotonic(),
            team=plan.team,
            urgency=START_URGENCY if plan.demand is not None else None,
            after_event=plan.request.last_event,
            once=not plan.repeatable,
        )

    def _refused(
        self, plan: Plan, target: Target, answer: TargetAnswer
    ) -> bool:
        facts = answer.facts
        if facts.other_instance is not None:
            self.table.mark_gone(target.instance, target.address)
        elif not facts.not_run:
            return False
        self.log.info(
            "refused_by_target",
            id=plan.request.id,
            target=target.instance,
            status=answer.status,
            other=facts.other_instance,
            rest=describe_rest(facts.rest),
            leaving=facts.leaving,
        )
        return True

    def _note_answer(self, plan: Plan, sent: Sent, began: float) -> None:
        now = self.clock.monotonic()
        failed = sent.answer.status >= SERVER_ERROR
        slowness = 0.0
        if plan.demand is None:
            slowness = (now - began) / plan.route.objective
        if self.table.is_current(sent.target):
            instance = sent.target.instance
            self.health.record_response(instance, failed, slowness, now)

    def note_lost(
        self,
        plan: Plan,
        target: Target,
        sent: float,
        begun: float | None,
        error: BaseException,
    ) -> None:
        """Note that a target broke off, or fell silent, under a request.

        :param plan: the request's
        :param target: where it was sent
        :param sent: when, in monotonic seconds
        :param begun: when its first event came; ``None`` before that
        :param error: how it ended
        """
        now = self.clock.monotonic()
        self.log.warn(
            "target_lost",
            id=plan.request.id,
            digest=shorten(plan.digest),
            path=plan.request.path,
            team=plan.team,
            target=target.instance,
            born=target.born,
            address=target.address,
            leaving=self.table.is_leaving(target.instance),
            sent_ms=round(1000 * (now - sent)),
            begun_ms=None if begun is None else round(1000 * (now - begun)),
            error=repr(error),
        )
        broke = not isinstance(error, TimeoutError)
        self.guard.note_lost(plan, target, sent, begun, broke)

    def _note_silence(self, target: Target) -> None:
        if self.table.is_current(target):
            # one that has started again is not avoided for what its earlier
            # life left unanswered
            self.chooser.avoid_unreachable(target.instance)
