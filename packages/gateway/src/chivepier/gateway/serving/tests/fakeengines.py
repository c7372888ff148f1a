"""In-process fake engines that run, copy and resume generations."""

import asyncio

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import Identity
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving import UnreachableError
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState

# Digits of an id that a fake engine takes for a number.
MAX_ID_DIGITS = 20
# In the head of an answer that no target has signed.
UNSIGNED_FIELD = ("X-From", "elsewhere")


@attrs.define(eq=False)
class FakeAnswer:
    """The answer stream of one run, whose events the test creates."""

    target: str
    request_id: str
    number: int
    status: int = 200
    facts: AnswerFacts = attrs.field(factory=AnswerFacts)
    headers: tuple = (("X-From", "engine"),)
    length: int | None = None
    closed: bool = False
    stopped: bool = False
    _queue: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    def make(self, count: int = 1, text: str = "") -> None:
        """Send events, followed by raw text such as a partial event."""
        for _ in range(count):
            self.number += 1
            data = f"id: {self.number}\ndata: {self.number}\n\n"
            self._queue.put_nowait(data.encode())
        if text:
            self._queue.put_nowait(text.encode())

    def end(self) -> None:
        """End the stream as complete."""
        self._queue.put_nowait(b"")

    @property
    def is_read(self) -> bool:
        """Whether all that was sent has been read."""
        return self._queue.empty()

    def cut(self) -> None:
        """Break the connection of the stream."""
        self._queue.put_nowait(None)

    async def read(self) -> bytes:
        """Return the next bytes."""
        data = await self._queue.get()
        if data is None:
            raise BrokenAnswerError("cut")
        return data

    def close(self) -> None:
        """Record that the reader closed the stream."""
        self.closed = True

    def release(self) -> None:
        """Do nothing: there is no connection to return."""


class FakeEngines:
    """A target port whose behaviour the test configures.

    These sets hold instances: ``refuse`` answer that they did not run the
    request, ``disconnecting`` do so instead of answering, ``unreachable``
    can't be connected to, ``misaddressed`` answer as another instance,
    ``full`` have no room, and ``ended`` no longer listen. ``replaced`` have
    another process at their address, and ``mute`` accept connections and
    answer nothing. ``failing`` maps
    instances to the status that they answer with. ``copies`` holds the memory
    that runs can resume from. ``facts``, ``refusal`` and ``full_facts`` are
    the facts in the heads of answers, refusals and refused reservations. No
    answer is returned before ``heads`` is set. Each series of events begins
    with the id ``first_number``.
    """

    def __init__(self) -> None:
        self.answers: list[FakeAnswer] = []
        self.orders: list = []
        self.moves: list[tuple[str, str, bool]] = []
        self.refuse: set[str] = set()
        self.reserved: list[tuple[str, int]] = []
        self.disconnecting: set[str] = set()
        self.unreachable: set[str] = set()
        self.misaddressed: set[str] = set()
        self.full: set[str] = set()
        self.failing: dict[str, int] = {}
        self.first_number = 1
        self.copies: set[tuple[str, str]] = set()
        self.dropped: list[tuple[str, str]] = []
        self.hung_up: list[str] = []
        self.ended: set[str] = set()
        self.probed: list[str] = []
        self.asked: list[str] = []
        self.replaced: set[str] = set()
        self.mute: set[str] = set()
        self.facts = AnswerFacts()
        self.refusal = AnswerFacts(not_run=True)
        self.full_facts = AnswerFacts(limit=None)
        self.reserve_attempts: list[str] = []
        self.sent = asyncio.Event()
        self.heads = asyncio.Event()
        self.heads.set()
        self.moved = asyncio.Event()

    async def send(self, target, request, order, contact) -> FakeAnswer:
        """Run a request, or continue it from a copy."""
        name = target.instance
        if name in self.unreachable:
            raise UnreachableError("refused")
        contact.begin()
        after = order.after_event or ""
        is_number = after.isdecimal() and len(after) <= MAX_ID_DIGITS
        number = int(after) if is_number else self.first_number - 1
        answer = FakeAnswer(name, request.id, number, facts=self.facts)
        self.orders.append((name, order))
        if name in self.disconnecting:
            raise ConnectionLostError("reset")
        if name in self.misaddressed:
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
        """Reserve room at a target unless it is full."""
        if target.instance in self.unreachable:
            raise UnreachableError("refused")
        contact.begin()
        self.reserve_attempts.append(target.instance)
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
        if source.instance in self.unreachable:
            return MoveResult(MoveOutcome.NOT_SENT)
        contact.begin()
        contact.record_head(AnswerFacts(limit=None))
        self.moves.append((source.instance, destination.instance, last))
        self.moved.set()
        await asyncio.sleep(0)
        run = self.find(source.instance)
        if run is None or run.number < self.first_number:
            return MoveResult(MoveOutcome.NO_RUN)
        if last:
            run.stopped = True
            run.cut()
        handle = f"h-{request_id}"
        if destination.instance in self.full:
            return MoveResult(MoveOutcome.NO_ROOM, handle if last else "")
        self.copies.add((source.address, handle))
        return MoveResult(MoveOutcome.COPIED, handle)

    def on_stop_order(self, act) -> None:
        """Call a function when a run is ordered to stop for its last copy.

        :param act: returns the result of the order, or ``None`` for the
            default behaviour
        """
        move = self.move

        async def move_then(source, identity, destination, last, *rest):
            answer = act() if last else None
            if answer is not None:
                return answer
            return await move(source, identity, destination, last, *rest)

        self.move = move_then

    def is_signed(self, fields) -> bool:
        """Tell whether a head is not marked as that of something else."""
        return UNSIGNED_FIELD not in fields

    def hang_up(self, target) -> None:
        """Record that the idle connections to a target were closed."""
        self.hung_up.append(target.instance)

    async def probe(self, target) -> Liveness:
        """Return whether a target has ended."""
        self.probed.append(target.instance)
        ended = target.instance in self.ended
        return Liveness.ENDED if ended else Liveness.LIVES

    async def identify(self, target, path, contact) -> Identity:
        """Return which process answers at the address of a target."""
        contact.begin()
        name = target.instance
        self.asked.append(name)
        if name in self.ended:
            return Identity.NOBODY
        if name in self.replaced:
            return Identity.OTHER
        return Identity.UNKNOWN if name in self.mute else Identity.SAME

    def hold_question(self) -> tuple[asyncio.Event, asyncio.Event]:
        """Delay the answer to the next question who answers at a target.

        :returns: set once it was asked; lets its answer come once set
        """
        identify = self.identify
        began, goes_on = asyncio.Event(), asyncio.Event()

        async def identify_late(*args):
            self.identify = identify
            identity = await identify(*args)
            began.set()
            await goes_on.wait()
            return identity

        self.identify = identify_late
        return began, goes_on

    async def drop(self, target, handle, contact) -> bool:
        """Free a copy."""
        contact.begin()
        contact.record_head(AnswerFacts(limit=None))
        self.dropped.append((target.instance, handle))
        return True

    def hold_connection(self, instance: str) -> asyncio.Event:
        """Delay connections to a target until the returned event is set."""
        send, stands = self.send, asyncio.Event()

        async def send_late(target, *args):
            if target.instance == instance:
                await stands.wait()
            return await send(target, *args)

        self.send = send_late
        return stands

    def find(self, instance: str) -> FakeAnswer | None:
        """Return the newest run of a target whose stream is open."""
        for answer in reversed(self.answers):
            if answer.target == instance and not answer.closed:
                return answer
        return None

    async def wait_run(self, count: int) -> FakeAnswer:
        """Wait until ``count`` runs have started, and return the last."""
        while len(self.answers) < count:
            self.sent.clear()
            await self.sent.wait()
        return self.answers[count - 1]


class FakeCaller:
    """Records what a caller receives."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: tuple = ()
        self.data = b""
        self.finished = False
        self.aborted = False
        self.changed = asyncio.Event()

    @property
    def begun(self) -> bool:
        """Whether a head was recorded."""
        return self.status is not None

    async def begin(self, status, headers, length) -> None:
        """Record the head of the answer."""
        assert self.status is None
        self.status, self.headers = status, headers

    async def write(self, data) -> None:
        """Record a part of the body."""
        self.data += data
        self.changed.set()

    async def finish(self, framed: bool) -> None:
        """Record the end of the answer."""
        self.finished = True

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True

    @property
    def numbers(self) -> list[int]:
        """The ids of the received events, in order."""
        lines = self.data.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    async def wait_events(self, count: int) -> None:
        """Wait until ``count`` events have been received."""
        while len(self.numbers) < count:
            self.changed.clear()
            await self.changed.wait()


def make_target(
    name: str,
    service: str = "llm",
    zone: str = "a",
    software_version: str = "v1",
) -> Target:
    """Create a ready target."""
    return Target(
        instance=name,
        service=service,
        address=f"{name}:80",
        zone=zone,
        state=TargetState.READY,
        number=1,
        slots=4,
        heard=1e12,
        software_version=software_version,
    )
