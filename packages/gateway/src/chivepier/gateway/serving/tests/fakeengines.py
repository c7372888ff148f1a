"""Engines in one process that run, copy and resume generations."""

import asyncio

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import Moved
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState


@attrs.define(eq=False)
class FakeAnswer:
    """The stream of one run; its events are made when the test says."""

    target: str
    request_id: str
    number: int
    status: int = 200
    facts: AnswerFacts = attrs.field(factory=AnswerFacts)
    headers: tuple = (("X-From", "engine"),)
    length: int | None = None
    framed: bool = True
    closed: bool = False
    stopped: bool = False
    _queue: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    def make(self, count: int = 1, text: str = "") -> None:
        """Make events; what follows the last one's end comes with it."""
        for _ in range(count):
            self.number += 1
            data = f"id: {self.number}\ndata: {self.number}\n\n"
            self._queue.put_nowait(data.encode())
        if text:
            self._queue.put_nowait(text.encode())

    def end(self) -> None:
        """End the stream as whole."""
        self._queue.put_nowait(b"")

    def cut(self) -> None:
        """Break the stream off."""
        self._queue.put_nowait(None)

    async def read(self) -> bytes:
        """Return the next bytes."""
        data = await self._queue.get()
        if data is None:
            raise BrokenAnswerError("cut")
        return data

    def close(self) -> None:
        """Note that the reader has left."""
        self.closed = True

    def release(self) -> None:
        """Nothing is kept."""


class FakeEngines:
    """A port to targets whose behaviour a test sets.

    ``refuse`` names targets that say they did not run a request, ``lose``
    those that break the connection instead of an answer, ``dark`` those
    that can't be reached, ``ended`` those where nothing listens any more;
    ``copies`` holds what may be gone on from; ``facts`` is what answers say,
    ``refusal`` what refusals do, ``full_facts`` those of reservations; no
    answer comes before ``heads`` is set.
    """

    def __init__(self) -> None:
        self.answers: list[FakeAnswer] = []
        self.orders: list = []
        self.moves: list[tuple[str, str, bool]] = []
        self.refuse: set[str] = set()
        self.reserved: list[tuple[str, int]] = []
        self.lose: set[str] = set()
        self.dark: set[str] = set()
        self.wrong: set[str] = set()
        self.full: set[str] = set()
        self.failing: dict[str, int] = {}
        self.copies: set[tuple[str, str]] = set()
        self.dropped: list[tuple[str, str]] = []
        self.hung_up: list[str] = []
        self.ended: set[str] = set()
        self.probed: list[str] = []
        self.facts = AnswerFacts()
        self.refusal = AnswerFacts(not_run=True)
        self.full_facts = AnswerFacts(limit=None)
        self.asked_room: list[str] = []
        self.sent = asyncio.Event()
        self.heads = asyncio.Event()
        self.heads.set()
        self.moved = asyncio.Event()

    async def send(self, target, request, order, contact) -> FakeAnswer:
        """Run a request, or go on from a copy."""
        name = target.instance
        if name in self.dark:
            raise NotSentError("refused")
        contact.begin()
        answer = FakeAnswer(
            name, request.id, int(order.after_event or 0), facts=self.facts
        )
        self.orders.append((name, order))
        if name in self.lose:
            raise ConnectionLostError("reset")
        if name in self.wrong:
            answer.facts = AnswerFacts(other_instance="other")
            answer.status = 421
            answer.end()
        elif name in self.refuse or not self._holds(target, order):
            answer.facts = self.refusal
            answer.status = 503
            answer.end()
        elif name in self.failing:
            answer.status = self.failing[name]
            answer.end()
        else:
            self.answers.append(answer)
        self.sent.set()
        await self.heads.wait()
        contact.record_head(answer.facts)
        return answer

    async def reserve(self, target, tokens, seconds, contact) -> str | None:
        """Reserve room at a target that is not full."""
        if target.instance in self.dark:
            raise NotSentError("refused")
        contact.begin()
        self.asked_room.append(target.instance)
        if target.instance in self.full:
            contact.record_head(self.full_facts)
            return None
        contact.record_head(AnswerFacts(limit=None))
        self.reserved.append((target.instance, tokens))
        return f"hold-{target.instance}"

    def _holds(self, target, order) -> bool:
        if order.origin is None:
            return True
        return (order.origin.address, order.origin.handle) in self.copies

    async def move(
        self, source, request_id, destination, last, seconds, contact
    ):
        """Copy a run's memory; the last copy stops it first."""
        if source.instance in self.dark:
            return Moved(MoveOutcome.NOT_SENT)
        contact.begin()
        contact.record_head(AnswerFacts(limit=None))
        self.moves.append((source.instance, destination.instance, last))
        self.moved.set()
        await asyncio.sleep(0)
        run = self.find(source.instance)
        if run is None or not run.number:
            return Moved(MoveOutcome.NO_RUN)
        if last:
            run.stopped = True
            run.cut()
        handle = f"h-{request_id}"
        if destination.instance in self.full:
            return Moved(MoveOutcome.NO_ROOM, handle if last else "")
        self.copies.add((source.address, handle))
        return Moved(MoveOutcome.COPIED, handle)

    def at_stop(self, act) -> None:
        """Let something happen as an order to stop for the last copy comes.

        :param act: returns the answer to it, or nothing for the usual one
        """
        move = self.move

        async def move_then(source, identity, destination, last, *rest):
            answer = act() if last else None
            if answer is not None:
                return answer
            return await move(source, identity, destination, last, *rest)

        self.move = move_then

    def hang_up(self, target) -> None:
        """Note that kept connections were ended."""
        self.hung_up.append(target.instance)

    async def probe(self, target) -> Liveness:
        """Tell whether a target has ended."""
        self.probed.append(target.instance)
        ended = target.instance in self.ended
        return Liveness.ENDED if ended else Liveness.LIVES

    async def drop(self, target, handle, contact) -> bool:
        """Free a copy."""
        contact.begin()
        contact.record_head(AnswerFacts(limit=None))
        self.dropped.append((target.instance, handle))
        return True

    def hold_connection(self, instance: str) -> asyncio.Event:
        """Let connections to a target stand only once an event is set."""
        send, stands = self.send, asyncio.Event()

        async def send_late(target, *args):
            if target.instance == instance:
                await stands.wait()
            return await send(target, *args)

        self.send = send_late
        return stands

    def find(self, instance: str) -> FakeAnswer | None:
        """Return the newest run of a target that is still read."""
        for answer in reversed(self.answers):
            if answer.target == instance and not answer.closed:
                return answer
        return None

    async def wait_run(self, count: int) -> FakeAnswer:
        """Wait until so many runs have begun, and return the last."""
        while len(self.answers) < count:
            self.sent.clear()
            await self.sent.wait()
        return self.answers[count - 1]


class FakeCaller:
    """Keeps what a caller gets."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: tuple = ()
        self.data = b""
        self.finished = False
        self.aborted = False
        self.changed = asyncio.Event()

    async def begin(self, status, headers, length) -> None:
        """Take the head."""
        assert self.status is None
        self.status, self.headers = status, headers

    async def write(self, data) -> None:
        """Take a part."""
        self.data += data
        self.changed.set()

    async def finish(self) -> None:
        """Take the end."""
        self.finished = True

    def abort(self) -> None:
        """Take the cut."""
        self.aborted = True

    @property
    def numbers(self) -> list[int]:
        """The numbers of the events, in the order they came."""
        lines = self.data.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    async def wait_events(self, count: int) -> None:
        """Wait until so many events have come."""
        while len(self.numbers) < count:
            self.changed.clear()
            await self.changed.wait()


def make_target(name: str, service: str = "llm", zone: str = "a") -> Target:
    """Make a target that is ready."""
    return Target(
        instance=name,
        service=service,
        address=f"{name}:80",
        zone=zone,
        state=TargetState.READY,
        number=1,
        slots=4,
        heard=1e12,
    )
