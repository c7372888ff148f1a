"""Plays one end of an answer at an entry without a network."""

import asyncio

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import Identity
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving.tests.endcell import EndCell
from chivepier.gateway.serving.tests.endways import Check
from chivepier.gateway.serving.tests.endways import Entry
from chivepier.gateway.serving.tests.endways import Framing
from chivepier.gateway.serving.tests.endways import Incarnation
from chivepier.gateway.serving.tests.endways import Manner
from chivepier.gateway.serving.tests.endways import Others
from chivepier.gateway.serving.tests.endways import Path
from chivepier.gateway.serving.tests.endways import Place
from chivepier.gateway.serving.tests.endways import Reply
from chivepier.gateway.serving.tests.endways import Told
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import FakeCaller
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import RequestError

LIMIT_SECONDS = 60.0
# Longer than a silent target and a question to it take together.
DEADLINE_SECONDS = 5.0
# Longer than a target without a word is asked again.
SLEEP_SECONDS = 0.9
# Seconds in which a question is answered, or ends without an answer; see
# ``HttpTargetClient.identify``.
SLOW_SECONDS = 0.45
NO_ANSWER_SECONDS = 1.0
# Seconds until the next process at an address has announced itself.
ANNOUNCE_SECONDS = 0.4
EVENTS = 4
SENT_EVENTS = {Place.WITHIN: 2, Place.BETWEEN: 2, Place.AFTER_LAST: EVENTS}
HALF, BODY = "half", "half of it and the rest"
PARTIAL = "id: 3\nda"


class Sleeper:
    """Lets a played loop stand still when it is told to."""

    def __init__(self) -> None:
        self._seconds = 0.0

    def sleep(self) -> None:
        """Stand still as soon as time passes."""
        self._seconds = SLEEP_SECONDS

    def __call__(self, now: float) -> float:
        seconds, self._seconds = self._seconds, 0.0
        return seconds


@attrs.frozen
class Outcome:
    """What came of one end.

    :param told: what the caller was told
    :param numbers: numbers of the events that it has
    :param data: all bytes that it has
    :param questions: questions to the target whose answer ended, also those
        of others that want to know whether it lives
    :param examined: whether that target's word for its end was sought
    :param has_word: whether the target has said after the end that it lives
    """

    told: Told
    numbers: list[int]
    data: bytes
    questions: int
    examined: bool
    has_word: bool


class EndPlayer:
    """Ends the answer of one target, as a cell tells, and then watches.

    :param cell: how the answer ends
    :param sleeper: lets the loop stand still
    :param check: what the next target does
    """

    def __init__(
        self, cell: EndCell, sleeper: Sleeper, check: Check = Check.TELLS
    ):
        self._cell = cell
        self._check = check
        self._sleeper = sleeper
        self._parts = Parts("a")
        self._name = "a" if cell.path.streams else "w-a"
        self._neighbour: asyncio.Task | None = None
        self._neighbour_run: FakeAnswer | None = None
        self._sent = asyncio.Event()
        self._ended = asyncio.Event()
        self._ended_at: float | None = None
        self._questions = 0
        self._examined = False
        self._has_word = False
        self._has_gone_on = False
        engines = self._parts.engines
        engines.facts = AnswerFacts(framed=cell.framing is not Framing.NONE)
        self._send = engines.send
        self._identify = engines.identify
        witness = self._parts.dispatcher.witness
        self._examine = witness.examine
        witness.examine = self._note_examined
        engines.send = self._send_scripted
        engines.identify = self._identify_scripted
        engines.move = self._refuse_move

    async def play(self) -> Outcome:
        """Play the end until the caller was told something."""
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                return await self._play()
        finally:
            if self._neighbour is not None:
                self._neighbour.cancel()
                await asyncio.wait((self._neighbour,))
            await self._parts.mover.close()
            await self._parts.quarantine.close()

    async def _play(self) -> Outcome:
        cell, parts = self._cell, self._parts
        if self._check is Check.UNREACHABLE:
            parts.engines.unreachable |= {"b", "a-next"}
        if self._check is Check.UNEARNED:
            while parts.dispatcher.confirmations.take("llm"):
                continue
        deadline = tell_time() + DEADLINE_SECONDS
        request = make_request(cell.path.value, deadline=deadline)
        caller, task = parts.start(request)
        await self._sent.wait()
        if cell.others is not Others.NONE:
            await self._start_neighbour()
        parts.table.put(make_target("b", "llm"))
        parts.table.put(make_target("w-b", "web"))
        await self._send_part(caller)
        self._end()
        failed = False
        try:
            await task
        except RequestError:
            failed = True
        return Outcome(
            self._find_told(caller, failed),
            caller.numbers if cell.path.streams else [],
            caller.data,
            self._questions,
            self._examined,
            self._has_word,
        )

    def _find_told(self, caller: FakeCaller, failed: bool) -> Told:
        status = 200 if self._has_gone_on else self._cell.status.value
        match (failed, caller.status, caller.finished, caller.aborted):
            case (True, None, False, False):
                return Told.ERROR
            case (False, 200, False, True):
                return Told.BROKEN
            case (False, found, True, False) if found == status:
                return Told.RESUMED if self._has_gone_on else Told.WHOLE
            case _:
                return Told.UNCLEAR

    async def _start_neighbour(self) -> None:
        """Start another answer of the target, which goes on."""
        streams = self._cell.path.streams
        path = Path.ONCE if streams else Path.PLAIN
        request = make_request(path.value, id="r2", body=b"other")
        caller, self._neighbour = self._parts.start(request)
        answers = self._parts.engines.answers
        await wait_until(lambda: any(a.request_id == "r2" for a in answers))
        (run,) = (a for a in answers if a.request_id == "r2")
        assert run.target == self._name
        self._neighbour_run = run
        if streams:
            run.make(1)
            await caller.wait_events(1)

    async def _send_part(self, caller: FakeCaller) -> None:
        """Send what the caller gets before the end."""
        place = self._cell.place
        if place is Place.BEFORE_HEAD:
            return
        run = self._find_run()
        if self._cell.streams:
            count = SENT_EVENTS.get(place, 0)
            run.make(count, PARTIAL if place is Place.WITHIN else "")
            await caller.wait_events(count)
        elif place is Place.WITHIN:
            run.make(0, HALF)
        elif place is Place.AFTER_LAST:
            run.make(0, BODY)
        await asyncio.sleep(0.01)

    def _find_run(self) -> FakeAnswer:
        answers = self._parts.engines.answers
        return next(a for a in answers if a.request_id == "r1")

    def _end(self) -> None:
        """End the answer, and its process where the cell says so."""
        cell, parts = self._cell, self._parts
        self._ended_at = tell_time()
        self._change_incarnation()
        if cell.reply is Reply.UNASKED:
            parts.backoffs.add(self._name, 0, 5.0, tell_time())
        if cell.others is Others.ENDED:
            self._neighbour_run.cut()
        if cell.entry is Entry.SLEPT:
            self._sleeper.sleep()
        self._ended.set()
        if cell.place is Place.BEFORE_HEAD or cell.manner is Manner.SILENCE:
            return
        run = self._find_run()
        is_close = cell.framing is Framing.NONE
        if cell.manner is Manner.ORDERLY and (is_close or cell.ends_as_framed):
            run.end()
        else:
            run.cut()

    def _change_incarnation(self) -> None:
        parts, target = self._parts, self._parts.table.get(self._name)
        loop = asyncio.get_running_loop()
        match self._cell.incarnation:
            case Incarnation.ENDED:
                parts.engines.ended.add(self._name)
                parts.engines.unreachable.add(self._name)
            case Incarnation.LEAVES:
                parts.table.mark_leaving(self._name, 0, tell_time())
            case Incarnation.LIKE:
                parts.engines.misaddressed.add(self._name)
                like = make_target("a-next", target.service)
                like.address = target.address
                loop.call_later(ANNOUNCE_SECONDS, parts.table.put, like)
            case Incarnation.SERVICE:
                parts.engines.misaddressed.add(self._name)
                other = make_target("a-other", "other")
                other.address = target.address
                loop.call_later(ANNOUNCE_SECONDS, parts.table.put, other)

    async def _send_scripted(self, target, request, order, contact):
        if request.id != "r1":
            return await self._send(target, request, order, contact)
        if not self._sent.is_set():
            assert target.instance == self._name
            self._sent.set()
            if self._cell.place is Place.BEFORE_HEAD:
                contact.begin()
                await self._ended.wait()
                if self._cell.manner is Manner.SILENCE:
                    await asyncio.Event().wait()
                raise ConnectionLostError("closed before the head")
            answer = await self._send(target, request, order, contact)
            answer.status = self._cell.status.value
            return answer
        return await self._go_on(target, request, order, contact)

    async def _go_on(self, target, request, order, contact) -> FakeAnswer:
        """Answer as the next target, with what follows."""
        answer = await self._send(target, request, order, contact)
        if target.instance == self._name:
            return answer
        # the next target may send again what the caller has
        answer.number = max(0, answer.number - 1)
        if self._check is Check.HANGS:
            await asyncio.Event().wait()
        if self._check in (Check.BREAKS, Check.PART):
            answer.make(0, PARTIAL if self._check is Check.PART else "")
            answer.cut()
            return answer
        if self._cell.path.streams:
            answer.make(EVENTS - answer.number)
        else:
            answer.make(0, BODY)
        answer.end()
        self._has_gone_on = True
        return answer

    async def _refuse_move(self, source, *rest) -> MoveResult:
        """Answer that no run is there, or not at all."""
        cell = self._cell
        if cell.incarnation is not Incarnation.LEAVES:
            return MoveResult(MoveOutcome.NOT_SENT)
        if cell.manner is Manner.SILENCE:
            return MoveResult(MoveOutcome.FAILED)
        return MoveResult(MoveOutcome.NO_RUN)

    async def _note_examined(self, target, request_id):
        self._examined |= target.instance == self._name
        return await self._examine(target, request_id)

    async def _identify_scripted(self, target, path, contact) -> Identity:
        if target.instance != self._name:
            return await self._identify(target, path, contact)
        contact.begin()
        assert self._ended_at is not None
        self._questions += 1
        if self._cell.entry is Entry.SLEPT and self._questions == 1:
            self._sleeper.sleep()
            await asyncio.sleep(0.001)
        seconds, identity = self._find_reply()
        await asyncio.sleep(seconds)
        self._has_word |= identity is Identity.SAME
        return identity

    def _find_reply(self) -> tuple[float, Identity]:
        """Return when a question is answered, and what its answer tells.

        ``tests/adapter/test_identity.py`` shows the same with real sockets.
        """
        match self._cell.reply:
            case Reply.ITSELF:
                return 0.0, Identity.SAME
            case Reply.SLOW:
                return SLOW_SECONDS, Identity.SAME
            case Reply.AGAIN if self._questions > 1:
                return 0.0, Identity.SAME
            case Reply.ANOTHER if self._cell.incarnation is Incarnation.LIKE:
                return 0.0, Identity.OTHER
            case Reply.REFUSED:
                return 0.0, Identity.NOBODY
            case Reply.HANGS | Reply.LATE:
                return NO_ANSWER_SECONDS, Identity.UNKNOWN
            case _:
                # closed, reset, nameless, or to another request
                return 0.0, Identity.UNKNOWN
