"""Relays a stream to its caller across the targets that it runs on."""

import asyncio

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.assignmentlog import describe_forecast
from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.bodyrelay import BodyRelay
from chivepier.gateway.serving.callerconnection import CallerConnection
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.continuation import Continuation
from chivepier.gateway.serving.continuationjudge import judge_continuation
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.endcause import EndCause
from chivepier.gateway.serving.endcheck import CONFIRM_SECONDS
from chivepier.gateway.serving.endcheck import EndCheck
from chivepier.gateway.serving.endjudge import EndJudge
from chivepier.gateway.serving.endjudge import wait_for_handoff
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.errors import ConnectionLostError
from chivepier.gateway.serving.errors import ForeignAnswerError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.sendoptions import SendOptions
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.serving.vouchedend import VouchedEnd
from chivepier.gateway.targets import Target
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

# Seconds for the next target to answer. It admits a resumed generation before
# all others, and sends the head with the first event.
RESUME_ANSWER_SECONDS = 2.0
# Seconds in which one target after the other may be asked to go on: callers
# give up after two without an event.
RERUN_SECONDS = 1.0
# Targets asked for one break beyond the attempts of the route, as a
# refusal is no attempt: full ones would take the repeats of all others.
SPARE_SENDS = 2
# Targets that are asked what follows an end: most ends are whole.
MAX_CHECK_SENDS = 2
# Urgency at the next target, ahead of new generations: targets preempt the
# newest first, and a migrated generation is the newest though it has the most
# work to lose.
MOVED_URGENCY = 4
# Limit of targets per stream. Each handoff means that a target left or failed.
MAX_HANDOFFS = 20


class Relay:
    """Sends one caller an unbroken series of events from several targets.

    :param dispatcher: sends requests to targets
    :param plan: the plan of the request
    :param caller: the connection of the caller
    :param metrics: records the time to the first event and the longest gap
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: Plan,
        caller: CallerConnection,
        metrics: Metrics,
    ):
        self._dispatcher = dispatcher
        self._plan = plan
        self._caller = caller
        # of the budget, taken for a target that nothing was sent to
        self._has_repeat = False
        # monotonic time until which a rerun waits for its answer, in seconds
        self._answer_by = 0.0
        self._check = EndCheck(dispatcher, plan)
        self._body = BodyRelay(dispatcher, plan, caller, self._check, metrics)
        self._judge = EndJudge(
            dispatcher.witness, dispatcher.mover, dispatcher.log, metrics
        )

    async def run(self, started: StartedAnswer) -> None:
        """Relay events until the stream is complete or can't be resumed.

        :param started: the answer of the first target
        :raises RequestError: when the stream failed before anything was sent
            to the caller
        """
        head, run = started.answer, started.run
        if not run.forwarded:
            run.ran_at.append(run.target)
        try:
            for _ in range(MAX_HANDOFFS):
                end = await self._body.relay(head, started, run)
                if await self._judge.is_whole(run, end):
                    fresh = await self._confirm(run, started, end)
                    if fresh is None and self._check.is_disputed:
                        break
                    if fresh is None:
                        self._dispatcher.runs.note_complete(run)
                        framed = self._note_answered(run, started)
                        await self._body.finish(
                            head, run, end.remainder, framed
                        )
                        return
                    started = fresh
                    continue
                await self._note_lost(run)
                if self._check.is_answered_by_nothing(end):
                    framed = self._note_answered(run, started)
                    await self._body.finish(head, run, b"", framed)
                    return
                self._check.end()
                started = await self._resume(run, started)
                if started is None:
                    break
            self._break_off(run)
        finally:
            run.ended = True
            run.lost.set()
            self._body.note_ended(run)
            self._body.record_timing()
            timing = self._body.timing
            self._dispatcher.log.info(
                "stream_ended",
                id=run.request.id,
                target=run.target.instance,
                events=run.relayed_events,
                after=run.last_event_number,
                first_ms=round(1000 * timing.first_seconds),
                gap_ms=round(1000 * timing.max_gap),
                gap_at=timing.max_gap_index,
            )
            if started is not None:
                self._dispatcher.release(started)

    async def _confirm(
        self, run: LiveRun, started: StartedAnswer, end: BodyEnd
    ) -> StartedAnswer | None:
        """Ask another target what follows the last event, if that is cheap.

        A target may break off between two events and live on: then its word
        that it lives is true, and its stream is not whole.

        :returns: the answer of the other target; ``None`` if the end stands
        """
        # this end is that of the last target that was asked
        self._check.is_disputed = False
        if end.cause is EndCause.FRAMING:
            # the framing of a forwarded answer is that of an entry
            if not run.forwarded:
                service = self._plan.service.name
                self._dispatcher.confirmations.note_framed(service)
            return None
        if self._check.is_vouched or not self._check.may_begin(run):
            return None
        self._check.begin(VouchedEnd(started, self._is_whole_run(run)))
        asked = {run.target.instance}
        while len(asked) <= MAX_CHECK_SENDS:
            try:
                async with asyncio.timeout(self._check.limit(CONFIRM_SECONDS)):
                    rerun = await self._choose_rerun(run, asked)
            except TimeoutError:
                # earlier targets are asked first whether they count
                return None
            if rerun is None:
                return None
            self._dispatcher.log.info(
                "end_checked",
                id=run.request.id,
                target=run.target.instance,
                at=rerun.target.instance,
                after=run.last_event_number,
            )
            fresh = await self._try_handoff(run, rerun, started)
            if fresh is not None or not self._check.is_disputed:
                return fresh
            # it has failed to tell: the next one may
            asked.add(rerun.target.instance)
        return None

    def _note_answered(self, run: LiveRun, started: StartedAnswer) -> bool:
        """Report a whole stream; return whether a framing told its end."""
        whole_run = self._is_whole_run(run)
        if self._check.is_vouched:
            # nothing followed: the target that was asked has answered nothing
            vouched = self._check.vouched
            started, whole_run = vouched.started, vouched.whole_run
        self._dispatcher.guard.note_answered(self._plan, started, whole_run)
        return started.answer.facts.proves_end

    def _is_whole_run(self, run: LiveRun) -> bool:
        return not run.moved and run.request.last_event is None

    async def _note_lost(self, run: LiveRun) -> None:
        if run.stopped or run.forwarded:
            return
        dispatcher, plan = self._dispatcher, self._plan
        error = BrokenAnswerError("the stream ended before it was complete")
        dispatcher.losses.note_lost(
            plan, run.target, run.sent_at, run.first_event_at, True, error
        )
        if plan.repeatable:
            await dispatcher.guard.wait_for_verdict(plan, run.target)

    async def _try_handoff(
        self, run: LiveRun, handoff: Handoff, started: StartedAnswer
    ) -> StartedAnswer | None:
        dispatcher, plan = self._dispatcher, self._plan
        sent_at = dispatcher.clock.monotonic()
        is_new_run = handoff.origin is None
        try:
            return await self._send(run, handoff, started)
        except ForeignAnswerError as error:
            name = handoff.target.instance
            dispatcher.foreign.write_answer(run.request.id, name, error)
            self._check.note_answer(error.verdict)
            return None
        except (NotSentError, ConnectionLostError, TimeoutError) as error:
            if isinstance(error, NotSentError):
                self._has_repeat = is_new_run
            else:
                if is_new_run:
                    run.ran_at.append(handoff.target)
                dispatcher.losses.note_lost(
                    plan, handoff.target, sent_at, None, False, error
                )
                if not self._check.is_under_way:
                    # a request that ends its targets is sent to few more
                    await dispatcher.guard.wait_for_verdict(
                        plan, handoff.target
                    )
            dispatcher.log.warn(
                "handoff_failed",
                id=run.request.id,
                target=handoff.target.instance,
                error=repr(error),
            )
            return None

    async def _resume(
        self, run: LiveRun, started: StartedAnswer
    ) -> StartedAnswer | None:
        """Resume from a copy of the KV cache, or rerun if that is allowed."""
        run.lost.set()
        # the run may continue there for a moment after its stream is closed
        started.answer.close()
        if run.forwarded and run.software_version == "":
            run.software_version = (
                await self._dispatcher.continuations.find_version(self._plan)
            )
        detour = self._dispatcher.detour
        was_needed = detour.is_needed(self._plan)
        if was_needed:
            fresh = await self._forward_rest(run, started)
            if fresh is not None:
                return fresh
        fresh = await self._take_over(run, started)
        if fresh is None:
            fresh = await self._rerun(run, started)
        if fresh is not None:
            return fresh
        # no target is left that can be reached: others may reach one
        if not was_needed and detour.has_peer(self._plan):
            fresh = await self._forward_rest(run, started)
            if fresh is not None:
                return fresh
        self._dispatcher.release(started)
        return None

    async def _forward_rest(
        self, run: LiveRun, started: StartedAnswer
    ) -> StartedAnswer | None:
        """Have another entry continue a stream that can't be resumed here."""
        dispatcher, plan = self._dispatcher, self._plan
        if not plan.repeatable or dispatcher.guard.is_held(plan):
            return None
        if run.software_version == "" or not self._body.may_go_on:
            return None
        runs = await dispatcher.limit.count_runs(run)
        if runs >= plan.route.attempts or not self._take_repeat():
            return None
        dispatcher.release(started)
        run.earlier_runs += 1
        fresh = None
        try:
            fresh = await dispatcher.detour.start(plan, max(1, runs), run)
        except (
            BrokenAnswerError,
            ConnectionLostError,
            RequestError,
            TimeoutError,
        ) as error:
            if isinstance(error, ForeignAnswerError):
                dispatcher.foreign.write_answer(run.request.id, "", error)
            dispatcher.log.warn(
                "forward_failed", id=run.request.id, error=repr(error)
            )
        finally:
            if fresh is None:
                # its end releases it, also where its caller has left
                dispatcher.runs.track(run)
                dispatcher.balancer.record_start(run.target.instance)
        if fresh is not None:
            self._body.begin_next()
        return fresh

    async def _take_over(
        self, run: LiveRun, started: StartedAnswer
    ) -> StartedAnswer | None:
        """Resume from a copy of the KV cache, if there is one."""
        if run.handoff is None or not self._body.may_go_on:
            return None
        handoff = await wait_for_handoff(run)
        if handoff is None or self._dispatcher.guard.is_held(self._plan):
            return None
        handoff = self._redirect_to_source(run, handoff)
        return await self._try_handoff(run, handoff, started)

    async def _rerun(
        self, run: LiveRun, started: StartedAnswer
    ) -> StartedAnswer | None:
        """Ask one target after the other for what the caller lacks."""
        clock = self._dispatcher.clock
        began = clock.monotonic()
        self._answer_by = began + RESUME_ANSWER_SECONDS
        asked = {run.target.instance}
        most = self._plan.route.attempts + SPARE_SENDS
        while len(asked) < most and clock.monotonic() < began + RERUN_SECONDS:
            handoff = await self._choose_rerun(run, asked)
            if handoff is None:
                break
            fresh = await self._try_handoff(run, handoff, started)
            if fresh is not None:
                return fresh
            asked.add(handoff.target.instance)
        return None

    def _redirect_to_source(self, run: LiveRun, handoff: Handoff) -> Handoff:
        """Resume at the source if the destination can't be used now.

        The source stopped the run for the migration and keeps its KV cache.
        """
        if self._dispatcher.gate.may_resume(handoff.target):
            return handoff
        return Handoff(run.target, handoff.origin)

    async def _choose_rerun(
        self, run: LiveRun, asked: set[str]
    ) -> Handoff | None:
        """Choose a target for another run, and take a repeat for it.

        :param asked: names of the targets that have been asked
        """
        dispatcher, plan = self._dispatcher, self._plan
        if not plan.repeatable:
            return None
        if dispatcher.guard.is_held(plan) or not self._body.may_go_on:
            return None
        runs = await dispatcher.limit.count_runs(run)
        if runs >= plan.route.attempts:
            return None
        service = plan.service
        target = dispatcher.balancer.choose(
            service.name,
            service.engine,
            plan.demand,
            asked,
            run.eligibility,
        )
        if target is None or not self._take_repeat():
            return None
        return Handoff(target, None)

    def _take_repeat(self) -> bool:
        """Take a repeat from the budget, or one that was not sent."""
        has_repeat = self._has_repeat or self._dispatcher.take_retry(
            self._plan
        )
        self._has_repeat = False
        return has_repeat

    async def _acquire_permit(self, target: Target) -> None:
        plan, seconds = self._plan, None
        if self._check.is_under_way:
            seconds = self._check.limit(CONFIRM_SECONDS)
        try:
            async with asyncio.timeout(seconds):
                await self._dispatcher.gate.acquire_resume_permit(
                    plan.service, target, plan.team or ""
                )
        except TimeoutError:
            raise NotSentError("no permit within the check") from None

    def _find_answer_seconds(self, handoff: Handoff) -> float:
        """Return the wait for an answer: times of several reruns don't add."""
        if handoff.origin is not None or self._check.is_under_way:
            return RESUME_ANSWER_SECONDS
        return max(0.0, self._answer_by - self._dispatcher.clock.monotonic())

    async def _send(
        self, run: LiveRun, handoff: Handoff, started: StartedAnswer
    ) -> StartedAnswer:
        """Send what resumes a stream.

        :raises ForeignAnswerError: when the answer is no rest of the stream
        """
        dispatcher, plan = self._dispatcher, self._plan
        await self._acquire_permit(handoff.target)
        if not dispatcher.table.is_current(handoff.target):
            # another incarnation has its name: its software may differ
            raise NotSentError("the target has started again")
        options = SendOptions(
            seconds=plan.deadline - dispatcher.clock.monotonic(),
            team=plan.team,
            urgency=MOVED_URGENCY,
            origin=handoff.origin,
            after_event=run.last_event,
            once=not plan.repeatable,
        )
        answer_seconds = self._check.limit(self._find_answer_seconds(handoff))
        if not answer_seconds:
            raise NotSentError("the check is over")
        seconds = min(options.seconds, answer_seconds)
        # without a KV cache at the target, it counts as a new generation
        purpose = CallPurpose.RESUME if handoff.origin else CallPurpose.START
        async with asyncio.timeout(seconds):
            answer = await dispatcher.calls.send(
                handoff.target,
                plan.request,
                options,
                purpose,
                is_held=lambda: dispatcher.guard.is_held(plan),
            )
        verdict = judge_continuation(answer)
        if verdict is not Continuation.NOT_RUN and handoff.origin is None:
            run.ran_at.append(handoff.target)
        if verdict is not Continuation.CONTINUES:
            answer.close()
            raise ForeignAnswerError(
                verdict, answer.status, answer.facts.signed
            )
        dispatcher.log.info(
            "gone_on",
            id=run.request.id,
            source=run.target.instance,
            target=handoff.target.instance,
            source_software=run.target.software_version,
            software=handoff.target.software_version,
            after=run.last_event_number,
            moved=handoff.origin is not None,
            **describe_forecast(
                dispatcher.balancer.forecast(
                    handoff.target, plan.service.engine, plan.demand
                )
            ),
        )
        dispatcher.release(started)
        if run.stopped and not run.stop_uncertain:
            # its source has ended it by order
            self._body.note_stopped()
        run.resume_at(handoff.target, dispatcher.clock.monotonic())
        self._body.begin_next()
        dispatcher.runs.track(run)
        dispatcher.balancer.record_start(run.target.instance)
        if dispatcher.table.is_leaving(run.target.instance):
            dispatcher.mover.start_move(run)
        return StartedAnswer(run.target, answer, b"", run)

    def _break_off(self, run: LiveRun) -> None:
        text = "the target broke off, and the stream can't go on"
        self._dispatcher.log.warn(
            "stream_cut",
            id=run.request.id,
            target=run.target.instance,
            after=run.last_event_number,
        )
        if not self._body.head_sent:
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        self._caller.abort()
