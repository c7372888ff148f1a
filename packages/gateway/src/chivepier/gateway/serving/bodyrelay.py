"""Relays the bodies of the targets that a stream runs on, one by one."""

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.callerconnection import CallerConnection
from chivepier.gateway.serving.dispatcher import Dispatcher
from chivepier.gateway.serving.endcause import EndCause
from chivepier.gateway.serving.endcheck import EndCheck
from chivepier.gateway.serving.errors import BrokenAnswerError
from chivepier.gateway.serving.errors import ForeignPieceError
from chivepier.gateway.serving.eventseries import begins_event
from chivepier.gateway.serving.eventseries import drop_begun_name
from chivepier.gateway.serving.eventseries import EventSeries
from chivepier.gateway.serving.eventsplitter import EventSplitter
from chivepier.gateway.serving.eventsplitter import has_new_part
from chivepier.gateway.serving.eventsplitter import parse_event_number
from chivepier.gateway.serving.eventsplitter import parse_part_number
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.piece import Piece
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.startedanswer import StartedAnswer
from chivepier.gateway.serving.streamtiming import StreamTiming
from chivepier.gateway.serving.targetanswer import TargetAnswer

# Seconds without a byte after which a target counts as unreachable; callers
# wait longer than this.
STALL_SECONDS = 1.5


class BodyRelay:
    """Writes the events of one body after the other to a caller.

    :param dispatcher: tracks runs and logs what is no part of the stream
    :param plan: the plan of the request
    :param caller: the connection of the caller
    :param check: the check of an end, which ends with the next event
    :param metrics: records the time to the first event and the longest gap
    :ivar head_sent: whether the caller has the head of its answer
    :ivar timing: when events were written
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: Plan,
        caller: CallerConnection,
        check: EndCheck,
        metrics: Metrics,
    ):
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._plan = plan
        self._caller = caller
        self._check = check
        self._splitter = EventSplitter()
        request = plan.request
        self._series = EventSeries(
            request.last_event_number is not None, request.takes_up
        )
        self._before_events = b""
        # since the last event: whether a part of the next one came, and
        # whether a body ended as that of a whole stream may
        self._part_came = False
        self._looked_whole = False
        self.head_sent = False
        self.timing = StreamTiming(
            plan.request.arrived, dispatcher.clock.monotonic
        )

    @property
    def may_go_on(self) -> bool:
        """Whether another target can tell what the caller lacks."""
        return self._series.may_go_on

    def note_stopped(self) -> None:
        """Record that the body ended by an order to its target."""
        self._looked_whole = True

    async def relay(
        self, head: TargetAnswer, started: StartedAnswer, run: LiveRun
    ) -> BodyEnd:
        """Relay events of one target until its stream ends or breaks.

        :param head: the head that the caller gets with the first event
        :param started: the answer of the target
        :param run: the run of the stream
        """
        dispatcher, foreign = self._dispatcher, None
        if started.answer.facts.declares_events:
            self._series.note_declared()
        first, started.body = started.body, b""
        try:
            await self._forward_events(head, run, first)
            while data := await self._read_chunk(run, started):
                await self._forward_events(head, run, data)
            cause = EndCause.CLOSE
            if started.answer.facts.framed:
                cause = EndCause.FRAMING
                self._check_remainder(run)
        except ForeignPieceError as error:
            cause, foreign = EndCause.BREAK, error
            self._check.note_foreign()
            dispatcher.foreign.write_piece(
                run.request.id,
                run.target.instance,
                run.last_event_number,
                error,
            )
        except BrokenAnswerError:
            cause = EndCause.BREAK
        except TimeoutError:
            cause = EndCause.TIMEOUT
        return self._make_end(run, cause, foreign)

    def begin_next(self) -> None:
        """Relay the body of another target from now on."""
        self._splitter = EventSplitter(resumed=True)
        self._series.begin_body()
        self._before_events = b""

    async def finish(
        self,
        head: TargetAnswer,
        run: LiveRun,
        remainder: bytes,
        framed: bool,
    ) -> None:
        """End the stream as whole.

        :param head: the head, if the caller has none yet
        :param run: the run of the stream
        :param remainder: what is left of the last body, a last event
        :param framed: whether a framing told the end
        """
        number = parse_event_number(remainder)
        if remainder and not run.has_relayed(number):
            # a last event that no empty line ends, as the target sent it
            await self._write(head, run, remainder)
        if not self.head_sent:
            await self._write(head, run, b"")
        await self._caller.finish(framed)

    def record_timing(self) -> None:
        """Record the times of the stream that has ended."""
        plan, timing = self._plan, self.timing
        self._metrics.record_stream(
            plan.team or "",
            str(plan.urgency),
            timing.first_seconds,
            timing.max_gap,
        )

    def note_ended(self, run: LiveRun) -> None:
        """Record that the stream has ended, whole or not."""
        if run.software_version is not None:
            self._dispatcher.continuations.note_ended(
                self._plan, run.software_version
            )

    async def _forward_events(
        self, head: TargetAnswer, run: LiveRun, data: bytes
    ) -> None:
        """Relay events, up to what is no part of the series.

        :raises ForeignPieceError: at that part
        """
        fresh, has_event, foreign = [], False, None
        for event, number in self._splitter.feed(data):
            try:
                piece = self._judge_piece(run, event, number)
            except ForeignPieceError as error:
                foreign = error
                break
            if piece is Piece.KNOWN:
                continue
            fresh.append(event)
            if piece is Piece.NEXT:
                has_event = True
                self._note_event(run, number)
        data = b"".join(fresh)
        if not self.head_sent and not has_event:
            # comments and empty lines alone are no answer yet
            self._before_events += data
        elif data:
            await self._write(head, run, data)
        if foreign is not None:
            raise foreign

    def _note_event(self, run: LiveRun, number: int | None) -> None:
        if number is not None:
            run.note_relayed(number)
        if not self._series.may_go_on:
            # it would be stopped for a copy that it can't go on from
            run.movable = False
        self._check.note_event(number is not None)
        # what earlier bodies ended with was followed by it
        self._part_came = self._looked_whole = False

    async def _write(
        self, head: TargetAnswer, run: LiveRun, data: bytes
    ) -> None:
        if not self.head_sent:
            self.head_sent = True
            await self._note_begun(run)
            await self._caller.begin(head.status, head.headers, None)
        self.timing.record_write()
        before, self._before_events = self._before_events, b""
        await self._caller.write(before + data)

    async def _note_begun(self, run: LiveRun) -> None:
        dispatcher = self._dispatcher
        version = dispatcher.table.find_version(run.target)
        run.software_version = version
        await dispatcher.continuations.note_begun(self._plan, version)

    def _check_remainder(self, run: LiveRun) -> None:
        """Check what is left at the end of a body: it may be a last event.

        :raises ForeignPieceError: if it is no part of the series
        """
        rest = drop_begun_name(self._splitter.remainder)
        self._judge_piece(run, rest, parse_event_number(rest))

    def _judge_piece(
        self, run: LiveRun, part: bytes, number: int | None
    ) -> Piece:
        """Judge a part of a body.

        :raises ForeignPieceError: if it is no part of the series
        """
        piece = self._series.judge(part, number, run.last_event_number)
        if piece.is_foreign:
            # shows that the caller lacks what an empty answer would not tell
            has_begun = begins_event(part) and piece is Piece.TEXT
            is_lacked = number is None or not run.has_relayed(number)
            raise ForeignPieceError(piece, number, has_begun and is_lacked)
        return piece

    def _make_end(
        self,
        run: LiveRun,
        cause: EndCause,
        foreign: ForeignPieceError | None = None,
    ) -> BodyEnd:
        rest = self._splitter.take_remainder()
        if foreign is None:
            has_part = has_new_part(rest, run.last_event_number)
            self._series.note_part(parse_part_number(rest))
        else:
            rest, has_part = b"", foreign.cuts_event
            self._series.note_part(foreign.number)
        if run.forwarded and cause is EndCause.BREAK:
            # another entry keeps the part of an event that it has to itself
            has_part = True
        end = BodyEnd(
            cause,
            self._splitter.events,
            rest,
            follows=self.head_sent and self._looked_whole,
            contradicted=self._part_came and not has_part,
            foreign=foreign is not None,
        )
        if has_part:
            self._part_came = True
        if cause is EndCause.CLOSE and (end.events or end.follows):
            self._looked_whole = True
        return end

    async def _read_chunk(self, run: LiveRun, started: StartedAnswer) -> bytes:
        seconds = None
        if self._plan.repeatable and not run.forwarded:
            # an unreachable target does not close the connection; a generation
            # that can be run elsewhere need not wait for its deadline
            seconds = self._check.limit(STALL_SECONDS)
        # only reads have a timeout: cancelling a write would lose an event
        # whose number has already been recorded
        async with run.limit_wait(seconds):
            data = await started.answer.read()
        self._dispatcher.runs.note_first_event(run)
        self._dispatcher.runs.note_growth(run)
        self._dispatcher.guard.note_growing(run)
        return data
