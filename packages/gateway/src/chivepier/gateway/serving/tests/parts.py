"""An entry without a network: everything between caller and target."""

import asyncio
import json
import random
import tempfile

import pytest

from chivepier.gateway.config import Configuration
from chivepier.gateway.config import Engine
from chivepier.gateway.config import Repetition
from chivepier.gateway.config import Route
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.config import Service
from chivepier.gateway.config import Team
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.limits import LimitBoard
from chivepier.gateway.limits import LimitWord
from chivepier.gateway.limits import RestBoard
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits import ColdBound
from chivepier.gateway.permits import OwnPart
from chivepier.gateway.permits import Permits
from chivepier.gateway.permits import Turn
from chivepier.gateway.quarantine import Ending
from chivepier.gateway.quarantine import Life
from chivepier.gateway.quarantine import Orders
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.serving import Dispatcher
from chivepier.gateway.serving import Guard
from chivepier.gateway.serving import Mover
from chivepier.gateway.serving import Planner
from chivepier.gateway.serving import Prompt
from chivepier.gateway.serving import Remarks
from chivepier.gateway.serving import RetryBudget
from chivepier.gateway.serving import Returns
from chivepier.gateway.serving import SendGate
from chivepier.gateway.serving import Serving
from chivepier.gateway.serving import ServingState
from chivepier.gateway.serving import TargetCalls
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import FakeCaller
from chivepier.gateway.serving.tests.fakeengines import FakeEngines
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Leavers
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import QueueBoard
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import ZoneOrder
from chivepier.gateway.zones import Zones
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time
from chivepier.types import Failure
from chivepier.types import RequestError

REGIONS = {"a": "north", "b": "north", "c": "south"}
ENGINE = Engine(
    slots=8,
    memory_tokens=100_000,
    event_tokens=4,
    moves=True,
    token_seconds=1e-7,
)


def make_route(**changes) -> Route:
    """Make a route of streams that may run once."""
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/llm/",
        "pools": (("llm", 1.0),),
        "streaming": True,
        "repetition": Repetition.ONCE,
        "attempts": 1,
        "timeout": 20.0,
        "objective": 1.0,
        "gap_objective": 0.2,
        "urgency": 1,
        "public": False,
    }
    return Route(**{**fields, **changes})


PLAIN = make_route(
    name="p",
    prefix="/plain/",
    pools=(("web", 1.0),),
    streaming=False,
    repetition=Repetition.ONCE,
)
REPEATABLE = make_route(
    name="i",
    prefix="/read/",
    pools=(("web", 1.0),),
    streaming=False,
    repetition=Repetition.IDEMPOTENT,
    attempts=2,
)
RESUMABLE = make_route(
    name="s",
    prefix="/resume/",
    repetition=Repetition.RESUMABLE,
    attempts=2,
)
ROUTES = (make_route(), PLAIN, REPEATABLE, RESUMABLE)


class Parts:
    """Parts of an entry, put together over fake engines.

    :param names: targets of both services
    :param engine: what the model-serving targets can do
    """

    def __init__(self, *names: str, engine: Engine = ENGINE):
        self.engines = FakeEngines()
        self.zones = Zones(REGIONS)
        self.table = TargetTable(1.0, self.zones)
        self.board = LoadBoard("e1")
        self.queues = QueueBoard("e1", self.board.changed)
        self.health = TargetHealth()
        self.state = ServingState()
        clock = LoopClock()
        self._lines = tempfile.TemporaryFile()
        log = EventLog("e1", self._lines.fileno())
        rng = random.Random(1)
        self.limits = LimitBoard("e1")
        self.rests = RestBoard(rng)
        chooser = Chooser(
            self.table,
            self.health,
            self.board,
            "a",
            clock,
            rng,
            self.limits,
            self.rests,
        )
        self.permitted: bool | None = True
        self.asked: list[tuple[str, int]] = []
        self.turn = Turn(True, 0.0)
        self.claims: list[PermitRequest] = []
        permits = Permits(
            zones=self.zones,
            limits=self.limits,
            bound=ColdBound(1.5, 5.0),
            ask=self._answer_permit,
            own=OwnPart(rng),
            count_entries=lambda: self.state.entries,
            clock=clock,
            log=log,
            metrics=Metrics(),
        )
        self.freshness = Freshness(clock)
        gate = SendGate(
            self.zones,
            self.table,
            permits,
            self.rests,
            self.freshness,
            clock,
            Metrics(),
        )
        self.leavers = Leavers(self.table)
        remarks = Remarks(
            self.limits,
            self.rests,
            self.leavers,
            self.table,
            clock,
            log,
            Metrics(),
        )
        calls = TargetCalls(self.engines, gate, remarks)
        self.quarantine = Quarantine(
            "e1",
            self.table,
            calls.probe,
            Orders(),
            clock,
            log,
            Metrics(),
        )
        guard = Guard(self.quarantine, clock)
        self.mover = Mover(
            calls,
            chooser,
            self.table,
            self.board,
            guard,
            clock,
            log,
            Metrics(),
        )
        self.table.watchers.append(self.mover.note_target)
        self.table.restart_watchers.append(self.mover.note_restart)
        self.budget = RetryBudget(0.2, 10, 10)
        self.dispatcher = Dispatcher(
            state=self.state,
            table=self.table,
            chooser=chooser,
            health=self.health,
            board=self.board,
            queues=self.queues,
            mover=self.mover,
            calls=calls,
            budget=self.budget,
            guard=guard,
            gate=gate,
            returns=Returns(rng),
            clock=clock,
            log=log,
        )
        self.quarantine.watchers.append(self.mover.note_held)
        self.planner = Planner(self.state, rng)
        self.serving = Serving(
            self.state, self.planner, self.dispatcher, Metrics()
        )
        self.configure(engine)
        for name in names:
            self.table.put(make_target(name, "llm"))
            self.table.put(make_target(f"w-{name}", "web"))

    async def _answer_permit(
        self, request: PermitRequest
    ) -> PermitAnswer | None:
        if request.rate >= 0:
            self.claims.append(request)
        if request.cold_limit:
            self.asked.append((request.instance, request.cold_limit))
        if self.permitted is None:
            return None
        granted = self.permitted and self.turn.granted
        return PermitAnswer(granted, self.turn.wait)

    def name_limit(self, name: str, rate: float | None) -> None:
        """Let a target name a limit, or none any more, to another entry."""
        word = self.limits.find(name, 0)
        self.limits.put(
            LimitWord(
                instance=name,
                born=0,
                version=word.version + 1 if word else 1,
                rate=rate,
                source="e2",
                seen=tell_time(),
            )
        )

    def evacuate(self, zone: str, index: int = 1) -> None:
        """Let an operator's order about a zone come into force."""
        self.zones.put(ZoneOrder(zone, index, True, tell_time()))

    def readmit(self, zone: str, index: int = 2) -> None:
        """Let a zone be taken back."""
        self.zones.put(ZoneOrder(zone, index, False, tell_time()))

    def configure(self, engine: Engine = ENGINE, **changes) -> None:
        """Put a configuration in force."""
        fields = {
            "version": 1,
            "routes": ROUTES,
            "services": (
                Service(name="llm", connections=10, engine=engine),
                Service(name="web", connections=10),
            ),
            "teams": (Team(name="t1", keys=("k1",), urgency=3),),
        }
        index = RouteIndex(Configuration(**{**fields, **changes}))
        self.state.adopt(index)

    def make_team(self, name: str, key: str) -> Team:
        """Make a team with one key."""
        return Team(name=name, keys=(key,), urgency=3)

    def hold_back(self, request: CallerRequest) -> None:
        """Let three targets of another entry have ended under a request."""
        digest = self.planner.plan(request).digest
        now = tell_time()
        self.quarantine.take(
            Ending(digest, Life(f"other{number}", 1), now, "e2", "refused")
            for number in range(3)
        )

    def order(
        self,
        let_through: CallerRequest | None = None,
        keep_out: CallerRequest | None = None,
    ) -> None:
        """Let an operator decide about requests."""
        heads = [
            (shorten(self.planner.plan(request).digest),) if request else ()
            for request in (let_through, keep_out)
        ]
        self.quarantine.orders = Orders(*heads)

    def leave(self, name: str) -> None:
        """Let a target say that it leaves."""
        target = make_target(name)
        target.state = TargetState.LEAVING
        target.number = 2
        self.table.put(target)

    def restart(self, name: str, born: int) -> None:
        """Let a target start again under its name."""
        target = make_target(name)
        target.born = born
        self.table.put(target)

    def say_copying(self, entry: str, name: str, milliseconds: int) -> None:
        """Let another entry copy off a target for so long, or end with 0."""
        copying = milliseconds > 0
        record = LoadRecord(entry, name, 1, 0, 0, milliseconds, copying)
        self.board.put(record, tell_time())

    def say_waiting(
        self, entry: str, service: str, rank: int, waiting: int
    ) -> None:
        """Let so many requests of a rank wait at another entry."""
        record = QueueRecord(entry, service, rank, waiting)
        self.queues.put(record, tell_time())

    def read_lines(self, event: str) -> list[dict]:
        """Return the lines of the log about one kind of event."""
        self._lines.seek(0)
        lines = [json.loads(line) for line in self._lines]
        return [line for line in lines if line["event"] == event]

    async def serve(self, request: CallerRequest) -> FakeCaller:
        """Serve a request to its end."""
        caller = FakeCaller()
        await self.serving.serve(request, caller)
        return caller

    def start(self, request: CallerRequest):
        """Serve a request in a task of its own."""
        caller = FakeCaller()
        work = self.serving.serve(request, caller)
        return caller, asyncio.create_task(work)


def make_request(path: str = "/llm/x", **changes) -> CallerRequest:
    """Make a request with a prompt where its path is one of streams."""
    now = tell_time()
    streams = not path.startswith(("/plain/", "/read/"))
    fields = {
        "id": "r1",
        "method": "POST",
        "url": path,
        "path": path,
        "host": "h.example",
        "headers": (),
        "body": b"b",
        "key": "k1",
        "arrived": now,
        "deadline": now + 20.0,
        "prompt": Prompt(tokens=100, most_output=900) if streams else None,
    }
    return CallerRequest(**{**fields, **changes})


async def fail(parts: Parts, request: CallerRequest) -> Failure:
    """Serve a request that must fail, and return how it did."""
    with pytest.raises(RequestError) as caught:
        await parts.serve(request)
    return caught.value.failure


async def begin(parts: Parts, path: str = "/llm/x", events: int = 2):
    """Start a stream and let it make events that reach the caller.

    :returns: the caller, the task that serves it, and the run
    """
    caller, task = parts.start(make_request(path))
    run = await parts.engines.wait_run(1)
    run.make(events)
    await caller.wait_events(events)
    return caller, task, run


async def finish(task: asyncio.Task, run: FakeAnswer, events: int = 0) -> None:
    """Let a run make its last events and end, and its caller be served."""
    run.make(events)
    run.end()
    await task


async def wait_until(condition) -> None:
    """Return once a condition holds; the test's own limit ends it else."""
    while not condition():
        await asyncio.sleep(0.01)


def play(test, *names: str, **options) -> None:
    """Run a test's coroutine over these parts, within ten played seconds."""

    async def work():
        async with asyncio.timeout(10):
            parts = Parts(*names, **options)
            await test(parts)
            await parts.mover.close()
            await parts.quarantine.judge.close()

    play_time(work())
