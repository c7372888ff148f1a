"""Sends a request to targets, with retries, until one answers it."""

import asyncio
import contextlib

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.answermemory import AnswerMemory
from chivepier.gateway.serving.answerreader import AnswerReader
from chivepier.gateway.serving.answerstatus import is_success
from chivepier.gateway.serving.assignment import Assignment
from chivepier.gateway.serving.assignmentlog import AssignmentLog
from chivepier.gateway.serving.attemptlimit import AttemptLimit
from chivepier.gateway.serving.attemptrecorder import AttemptRecorder
from chivepier.gateway.serving.attemptrecorder import SERVER_ERROR_STATUS
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.confirmations import Confirmations
from chivepier.gateway.serving.continuations import Continuations
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.departure import Departure
from chivepier.gateway.serving.detour import Detour
from chivepier.gateway.serving.endwitness import EndWitness
from chivepier.gateway.serving.errors import AllBackedOffError
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.errors import ConnectionLostError
from chivepier.gateway.serving.errors import ForeignAnswerError
from chivepier.gateway.serving.errors import NoCapacityError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.errors import PlacesTakenError
from chivepier.gateway.serving.errors import RateLimitedError
from chivepier.gateway.serving.foreignlog import ForeignLog
from chivepier.gateway.serving.identification import Identification
from chivepier.gateway.serving.lossrecorder import LossRecorder
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.patience import Patience
from chivepier.gateway.serving.placewait import PlaceWait
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.refusallog import RefusalLog
from chivepier.gateway.serving.rejectionpolicy import RejectionPolicy
from chivepier.gateway.serving.retryafterscheduler import RetryAfterScheduler
from chivepier.gateway.serving.retrybudget import RetryBudget
from chivepier.gateway.serving.roomadvisor import RoomAdvisor
from chivepier.gateway.serving.runtracker import RunTracker
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.startedanswer import StartedAnswer
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

# Timeout of an attempt that may be retried, in multiples of the route's
# latency objective.
ATTEMPT_TIMEOUT_OBJECTIVES = 2.0
# Pause after a round in which all targets refused, times the number of rounds:
# a target may have capacity again after this long.
REFUSED_RETRY_SECONDS = 0.03
# Seconds without an answer before targets may count as out of reach, also for
# a shorter objective: some targets stand still for a moment.
MIN_PATIENCE_SECONDS = 0.3
# Urgency that a target is sent for every new generation. With the urgency of
# their class, short generations would preempt long ones, whose prompts would
# then be prefilled again.
START_URGENCY = 5


class Dispatcher:
    """Sends requests to targets and retries within the retry budget.

    :param state: number of entries that share the retry budget
    :param table: the known targets
    :param balancer: load balancer that picks among them
    :param health: failure and latency statistics of targets
    :param loads: load of each target
    :param queues: requests that wait for capacity
    :param mover: migrates generations off targets that leave
    :param calls: client for calls to targets
    :param budget: limits retries
    :param guard: blocks requests that crash targets
    :param gate: decides what may be sent to which target
    :param retry_after: schedules when refused callers may retry
    :param detour: has other entries serve what reaches no target from here
    :param clock: monotonic clock
    :param log: event log for decisions on requests
    :param metrics: gets the waits for room and places, and streams by fit
    :param answers: bounds the memory of answers that are read whole
    """

    def __init__(
        self,
        *,
        state: ServingState,
        table: TargetTable,
        balancer: LoadBalancer,
        health: TargetHealth,
        loads: LoadTracker,
        queues: QueueTracker,
        mover: Mover,
        calls: TargetCalls,
        budget: RetryBudget,
        guard: CrashGuard,
        gate: SendGate,
        retry_after: RetryAfterScheduler,
        detour: Detour,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        answers: AnswerMemory,
    ):
        self._metrics = metrics
        self.state = state
        self.table = table
        self.balancer = balancer
        self.mover = mover
        self.calls = calls
        self.budget = budget
        self.guard = guard
        self.gate = gate
        self.detour = detour
        self.clock = clock
        self.log = log
        self.continuations = Continuations(table, state, clock, log, metrics)
        named = Identification(state, calls)
        self.limit = AttemptLimit(table, calls.connect, named.is_replaced)
        self.witness = EndWitness(table, named.identify, clock, log, metrics)
        self.confirmations = Confirmations()
        self._assignments = AssignmentLog(balancer, clock, log)
        self._attempts = AttemptRecorder(table, health, balancer, clock, log)
        self._refusals = RefusalLog(log, metrics)
        self.foreign = ForeignLog(log, metrics)
        self.losses = LossRecorder(table, guard, clock, log)
        self.runs = RunTracker(loads, mover, balancer, clock, queues)
        self.departure = Departure(state, clock, self.runs.estimate_seconds)
        self._reader = AnswerReader(self.runs, self.witness, answers)
        self._rejection = RejectionPolicy(table, clock, retry_after, log)
        places = PlaceWait(balancer, gate, state, clock, log, metrics)
        room = RoomAdvisor(
            balancer, queues, self.runs.holds, clock, log, metrics
        )
        self._assigner = TargetAssigner(
            balancer,
            health,
            queues,
            room,
            calls,
            guard,
            gate,
            places,
            clock,
            log,
        )

    async def dispatch(
        self, plan: Plan, runs: int = 0, may_forward: bool = True
    ) -> StartedAnswer:
        """Send a request to one target after another until one runs it.

        :param plan: the request and its route
        :param runs: number of targets that may have run it already
        :param may_forward: whether another entry may serve it
        :returns: the answer to relay, which the caller must pass to
            :meth:`release`
        :raises RequestError: when no further attempt is possible
        """
        tried: set[str] = set()
        rounds = 0
        retry_counted = True
        while True:
            self._rejection.check_deadline(plan, runs)
            await self.guard.check(plan, runs)
            if may_forward and self.detour.is_needed(plan):
                if not retry_counted and not self.take_retry(plan):
                    raise self._rejection.make_error(
                        plan, runs, "no repeats are left"
                    )
                started = await self._forward(plan, runs)
                if started is not None:
                    if started.run is not None:
                        started.run.earlier_runs = runs + 1
                    return started
                may_forward, retry_counted = False, True
            async with self.departure.limit_wait(plan, runs):
                await self.gate.wait_fresh()
                assignment = await self._find_assignment(
                    plan, tried, runs, may_forward
                )
                # the request may have been quarantined while it waited
                await self.guard.check(plan, runs)
            if assignment is None:
                if may_forward and self.detour.is_only_way(plan):
                    continue
                rounds += 1
                self._rejection.check_rounds(plan, rounds, bool(tried), runs)
                tried.clear()
                await self.clock.sleep(REFUSED_RETRY_SECONDS * rounds)
                continue
            if not retry_counted and not self.take_retry(plan):
                raise self._rejection.make_error(
                    plan, runs, "no repeats are left"
                )
            retry_counted = False
            target = assignment.target
            forecast = self.balancer.forecast(
                target, plan.service.engine, plan.demand
            )
            self._assignments.write(plan, assignment, forecast)
            tried.add(target.instance)
            may_retry = plan.repeatable and runs + 1 < plan.route.attempts
            patience = self._make_patience(plan) if may_retry else None
            try:
                started = await self._attempt(plan, assignment, patience)
            except NotSentError as error:
                self._attempts.note_not_sent(plan, target, error)
                # the request did not arrive, so the next send is no retry
                retry_counted = True
                continue
            except (
                ConnectionLostError,
                BrokenAnswerError,
                TimeoutError,
            ) as error:
                runs += 1
                if not may_retry:
                    await self.guard.check(plan, runs)
                    raise self._rejection.make_lost_error(error) from None
                retry_counted = patience.retry_taken
                await self.guard.wait_for_verdict(plan, target)
                continue
            if self._is_refused(plan, target, started.answer):
                self.release(started)
                continue
            runs += 1
            if started.answer.facts.implies_not_run and not plan.repeatable:
                self.release(started)
                raise self._rejection.make_unproven_error()
            if started.answer.status >= SERVER_ERROR_STATUS:
                self._attempts.note_failure(plan, target, runs)
            if started.answer.status < SERVER_ERROR_STATUS:
                if forecast.fit is not None:
                    self._metrics.record_fit(forecast.fit.value)
                if started.run is None:
                    self.guard.note_answered(plan, started)
                else:
                    started.run.earlier_runs = runs - 1
                return started
            if not may_retry:
                return started
            # if no retry is possible, the target's own error answer tells the
            # caller more than one of this entry would
            retry_counted = self._has_time(plan) and self.take_retry(plan)
            if not retry_counted:
                return started
            self.release(started)

    async def _forward(self, plan: Plan, runs: int) -> StartedAnswer | None:
        """Forward a request, once more if the first entry is lost.

        :returns: the answer to relay; ``None`` if no entry took the request
        :raises RequestError: when no further attempt is possible
        """
        while True:
            try:
                return await self.detour.start(plan, runs)
            except (
                ConnectionLostError,
                BrokenAnswerError,
                TimeoutError,
            ) as error:
                runs += 1
                may_retry = plan.repeatable and runs < plan.route.attempts
                if not may_retry or not self.take_retry(plan):
                    raise self._rejection.make_lost_error(error) from None

    async def _find_assignment(
        self, plan: Plan, tried: set[str], runs: int, may_forward: bool
    ) -> Assignment | None:
        try:
            return await self._assigner.find_assignment(
                plan,
                tried,
                lambda: may_forward and self.detour.is_only_way(plan),
            )
        except NoCapacityError as error:
            raise self._rejection.make_no_room_error(
                plan, runs, error
            ) from None
        except RateLimitedError as error:
            raise self._rejection.make_over_limit_error(
                plan, runs, error.rate, self.state.entries
            ) from None
        except AllBackedOffError as error:
            raise self._rejection.make_backoff_error(
                plan, runs, error.seconds
            ) from None
        except PlacesTakenError as error:
            raise self._rejection.make_full_error(
                plan, runs, error.seconds, error.reports
            ) from None

    def _has_time(self, plan: Plan) -> bool:
        left = plan.deadline - self.clock.monotonic()
        return left > plan.route.objective / 4

    def take_retry(self, plan: Plan) -> bool:
        """Take one retry from the budget and return whether it had one."""
        now = self.clock.monotonic()
        return self.budget.take(plan.service.name, now, self.state.entries)

    def release(self, started: StartedAnswer) -> None:
        """Stop tracking an answer, close a stream and free a whole one."""
        started.free()
        if started.run is not None:
            self.runs.untrack(started.run)
            started.answer.close()
        self.balancer.record_end(started.target.instance)

    async def _attempt(
        self, plan: Plan, assignment: Assignment, patience: Patience | None
    ) -> StartedAnswer:
        target = assignment.target
        seconds = plan.deadline - self.clock.monotonic()
        run = None
        if plan.demand is not None:
            run = self.runs.start(plan, target)
        self.balancer.record_start(target.instance)
        sent_at = self.clock.monotonic()
        answer: TargetAnswer | None = None
        started: StartedAnswer | None = None
        try:
            async with (
                run.limit_wait(seconds) if run else asyncio.timeout(seconds)
            ) as timeout:
                with (
                    patience.limit(timeout)
                    if patience
                    else contextlib.nullcontext()
                ):
                    answer = await self.calls.send(
                        target,
                        plan.request,
                        self._build_options(plan, assignment),
                        CallPurpose.START,
                        assignment.permit,
                        max(MIN_PATIENCE_SECONDS, plan.route.objective),
                        lambda: self.guard.is_held(plan),
                    )
                    started = await self._reader.read(
                        plan, target, answer, run
                    )
        except BaseException as error:
            if isinstance(error, ForeignAnswerError):
                self.foreign.write_answer(
                    plan.request.id, target.instance, error
                )
            # of a withdrawn request the target has not failed
            if not (run and run.withdrawn) and isinstance(
                error, (ConnectionLostError, BrokenAnswerError, TimeoutError)
            ):
                first_event_at = run.first_event_at if run else None
                self._attempts.avoid(target)
                self.losses.note_lost(
                    plan,
                    target,
                    sent_at,
                    first_event_at,
                    answer is not None,
                    error,
                )
            if started is not None:
                started.free()
            if answer is not None:
                answer.close()
            if run is not None:
                self.runs.abandon(run)
            self.balancer.record_end(target.instance)
            raise
        seconds = self.clock.monotonic() - sent_at
        # a question after the end is waited for, but no work of the request
        work_seconds = seconds - started.question_seconds
        self._attempts.note_answer(plan, started, work_seconds)
        if started.run is None and is_success(answer.status):
            self.runs.note_answer(plan, seconds)
        return started

    def _make_patience(self, plan: Plan) -> Patience:
        seconds = ATTEMPT_TIMEOUT_OBJECTIVES * plan.route.objective
        # of a stream, the head comes long before its end
        streams = plan.route.streaming
        return Patience(
            seconds,
            None if streams else self.runs.estimate_seconds(plan),
            lambda: self.departure.may_repeat(plan, seconds),
            lambda: self.take_retry(plan),
        )

    def _build_options(
        self, plan: Plan, assignment: Assignment
    ) -> SendOptions:
        return SendOptions(
            reservation=assignment.reservation,
            seconds=plan.deadline - self.clock.monotonic(),
            team=plan.team,
            urgency=START_URGENCY if plan.demand is not None else None,
            after_event=plan.request.last_event,
            once=not plan.repeatable,
        )

    def _is_refused(
        self, plan: Plan, target: Target, answer: TargetAnswer
    ) -> bool:
        facts = answer.facts
        refused = facts.not_run
        if facts.other_instance is not None:
            self.table.mark_gone(target.instance, target.address)
            refused = True
        if refused or facts.implies_not_run:
            self._refusals.write(plan, target, answer)
        return refused
