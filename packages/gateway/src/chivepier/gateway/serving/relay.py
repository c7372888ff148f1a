"""Passing a stream on, over the targets that it runs at."""

import asyncio

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.callerport import CallerPort
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.errand import Errand
from chivepier.gateway.serving.errors import AnswerCutError
from chivepier.gateway.serving.errors import LostError
from chivepier.gateway.serving.errors import NotSentError
from chivepier.gateway.serving.eventsplitter import EventSplitter
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.sendorder import SendOrder
from chivepier.gateway.serving.sent import Sent
from chivepier.gateway.serving.streamend import StreamEnd
from chivepier.gateway.serving.streampace import StreamPace
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

# Seconds to wait for the outcome of a move once its source has ended the
# stream.
HANDOFF_SECONDS = 4.5
# Seconds for the next target to answer. It admits a generation that goes on
# before all others; its head comes with the first event.
ANSWER_SECONDS = 2.0
# Seconds without a byte after which a target counts as dark, before its caller
# leaves.
STALL_SECONDS = 1.5
# Urgency at the next target: one that was moved is the newest there, and the
# newest is preempted first, though it has the most to lose.
MOVED_URGENCY = 4
# How often one stream goes on elsewhere; each takes a target's end.
MOST_HANDOFFS = 20


class Relay:
    """One caller's stream: one series of events, whatever happens behind.

    :param dispatcher: sends to targets
    :param plan: the request's
    :param caller: its connection
    :param metrics: measures its pace
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: Plan,
        caller: CallerPort,
        metrics: Metrics,
    ):
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._plan = plan
        self._caller = caller
        self._splitter = EventSplitter()
        self._begun = False
        self._pace = StreamPace(
            plan.request.arrived, dispatcher.clock.monotonic
        )

    async def run(self, sent: Sent) -> None:
        """Relay until the stream is whole.

        :param sent: the answer of the first target
        :raises RequestError: when nothing was sent to the caller yet and
            nothing can be
        """
        head, run = sent.answer, sent.run
        try:
            for _ in range(MOST_HANDOFFS):
                match await self._pump(head, sent, run):
                    case StreamEnd.WHOLE if await self._ended(run, sent):
                        self._dispatcher.runs.note_whole(run)
                        self._dispatcher.guard.note_answered(
                            self._plan, sent.answer.facts
                        )
                        await self._finish(head)
                        return
                    case _:
                        await self._note_lost(run)
                        sent = await self._go_on(run, sent)
                if sent is None:
                    break
            self._cut(run)
        finally:
            run.ended = True
            run.lost.set()
            self._note_end()
            self._dispatcher.log.info(
                "stream_ended",
                id=run.request.id,
                target=run.target.instance,
                events=run.number,
                first_ms=round(1000 * self._pace.first),
                gap_ms=round(1000 * self._pace.gap),
                gap_at=self._pace.gap_at,
            )
            if sent is not None:
                self._dispatcher.end(sent)

    async def _note_lost(self, run: LiveRun) -> None:
        if run.stopped:
            return
        dispatcher, plan = self._dispatcher, self._plan
        error = AnswerCutError("the stream broke off")
        dispatcher.note_lost(plan, run.target, run.sent, run.began, error)
        if plan.repeatable:
            await dispatcher.guard.settle(plan, run.target)

    def _note_end(self) -> None:
        plan, pace = self._plan, self._pace
        self._metrics.note_stream(
            plan.team or "", str(plan.urgency), pace.first, pace.gap
        )

    async def _ended(self, run: LiveRun, sent: Sent) -> bool:
        # a stream that was stopped for a move has no end, but where its
        # target frames it by closing the connection it looks whole
        if not run.stopped:
            return True
        run.lost.set()
        found = await self._await_handoff(run)
        if run.stopped and not (run.doubtful and sent.answer.framed):
            return False
        if found is not None:
            self._dispatcher.mover.free_copy(run, found)
        return True

    async def _await_handoff(self, run: LiveRun) -> Handoff | None:
        try:
            async with asyncio.timeout(HANDOFF_SECONDS):
                return await asyncio.shield(run.handoff)
        except TimeoutError:
            return None

    async def _pump(
        self, head: TargetAnswer, sent: Sent, run: LiveRun
    ) -> StreamEnd:
        """Pass events on until the target ends or breaks off."""
        first, sent.body = sent.body, b""
        try:
            await self._pass_on(head, run, first)
            while data := await self._read(run, sent):
                await self._pass_on(head, run, data)
        except (AnswerCutError, TimeoutError):
            return StreamEnd.CUT
        rest = self._splitter.take_rest()
        if rest:
            # an answer that is whole by its framing is the target's own,
            # also where its last event has no end
            await self._write(head, rest)
        return StreamEnd.WHOLE

    async def _read(self, run: LiveRun, sent: Sent) -> bytes:
        seconds = None
        if self._plan.repeatable:
            # a target that is dark says nothing; where the generation can
            # go on elsewhere, its caller need not wait for the deadline
            seconds = STALL_SECONDS
        # only reads are bounded: an event that was counted but not yet
        # written would be lost if its write were ended
        async with run.bound(seconds):
            data = await sent.answer.read()
        self._dispatcher.runs.note_begun(run)
        self._dispatcher.runs.note_growth(run)
        return data

    async def _try_handoff(
        self, run: LiveRun, handoff: Handoff, sent: Sent
    ) -> Sent | None:
        dispatcher, plan = self._dispatcher, self._plan
        began = dispatcher.clock.monotonic()
        try:
            return await self._send(run, handoff, sent)
        except (NotSentError, LostError, TimeoutError) as error:
            if not isinstance(error, NotSentError):
                dispatcher.note_lost(plan, handoff.target, began, None, error)
            dispatcher.log.warn(
                "handoff_failed",
                id=run.request.id,
                target=handoff.target.instance,
                error=repr(error),
            )
            return None

    async def _pass_on(
        self, head: TargetAnswer, run: LiveRun, data: bytes
    ) -> None:
        fresh = []
        for event, number in self._splitter.feed(data):
            if number is not None:
                # the next target may repeat what the last one had made
                if number <= run.number:
                    continue
                run.number = number
            fresh.append(event)
        if fresh:
            await self._write(head, b"".join(fresh))

    async def _write(self, head: TargetAnswer, data: bytes) -> None:
        if not self._begun:
            self._begun = True
            await self._caller.begin(head.status, head.headers, None)
        self._pace.note()
        await self._caller.write(data)

    async def _finish(self, head: TargetAnswer) -> None:
        if not self._begun:
            self._begun = True
            await self._caller.begin(head.status, head.headers, None)
        await self._caller.finish()

    async def _go_on(self, run: LiveRun, sent: Sent) -> Sent | None:
        """Send the request to where its memory is, or anew if allowed."""
        run.lost.set()
        # a run without its stream may still go on there for a moment
        sent.answer.close()
        for handoff in await self._find_handoffs(run):
            if self._dispatcher.guard.holds(self._plan):
                break
            fresh = await self._try_handoff(run, handoff, sent)
            if fresh is not None:
                return fresh
        self._dispatcher.end(sent)
        return None

    async def _find_handoffs(self, run: LiveRun) -> list[Handoff]:
        found = []
        if run.handoff is not None:
            handoff = await self._await_handoff(run)
            if handoff is not None:
                found.append(self._correct(run, handoff))
        if self._plan.repeatable:
            anew = self._choose_anew(run)
            if anew is not None:
                found.append(anew)
        return found

    def _correct(self, run: LiveRun, handoff: Handoff) -> Handoff:
        """Go on at the source where the copy's target takes nothing now.

        It was stopped there for the move, and keeps the memory.
        """
        if self._dispatcher.gate.may_go_on(handoff.target):
            return handoff
        return Handoff(run.target, handoff.origin)

    def _choose_anew(self, run: LiveRun) -> Handoff | None:
        dispatcher, plan = self._dispatcher, self._plan
        if dispatcher.guard.holds(plan):
            return None
        service = plan.service
        target = dispatcher.chooser.choose(
            service.name,
            service.engine,
            plan.demand,
            {run.target.instance},
            plan.regions,
        )
        if target is None or not dispatcher.take_repeat(plan):
            return None
        return Handoff(target, None)

    async def _send(
        self, run: LiveRun, handoff: Handoff, sent: Sent
    ) -> Sent | None:
        dispatcher, plan = self._dispatcher, self._plan
        await dispatcher.gate.take_leave(
            plan.service, handoff.target, plan.team or ""
        )
        order = SendOrder(
            seconds=plan.deadline - dispatcher.clock.monotonic(),
            team=plan.team,
            urgency=MOVED_URGENCY,
            origin=handoff.origin,
            after_event=str(run.number),
            once=not plan.repeatable,
        )
        seconds = min(order.seconds, ANSWER_SECONDS)
        # what carries no memory there is new work
        errand = Errand.GO_ON if handoff.origin else Errand.START
        async with asyncio.timeout(seconds):
            answer = await dispatcher.calls.send(
                handoff.target, plan.request, order, errand
            )
        facts = answer.facts
        refused = facts.not_run or facts.other_instance is not None
        if refused or facts.crossed or answer.status >= 300:
            answer.close()
            dispatcher.log.warn(
                "handoff_refused",
                id=run.request.id,
                target=handoff.target.instance,
                status=answer.status,
            )
            return None
        dispatcher.log.info(
            "gone_on",
            id=run.request.id,
            source=run.target.instance,
            target=handoff.target.instance,
            after=run.number,
            moved=handoff.origin is not None,
        )
        dispatcher.end(sent)
        run.go_on(handoff.target, dispatcher.clock.monotonic())
        self._splitter = EventSplitter()
        dispatcher.runs.watch(run)
        dispatcher.chooser.record_start(run.target.instance)
        if dispatcher.table.is_leaving(run.target.instance):
            dispatcher.mover.start_move(run)
        return Sent(run.target, answer, b"", run)

    def _cut(self, run: LiveRun) -> None:
        text = "the target broke off, and the stream can't go on"
        self._dispatcher.log.warn(
            "stream_cut",
            id=run.request.id,
            target=run.target.instance,
            after=run.number,
        )
        if not self._begun:
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        self._caller.abort()
