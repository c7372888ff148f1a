"""An entry without a network, for tests of request handling."""

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
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits import ColdBound
from chivepier.gateway.permits import FallbackLimiter
from chivepier.gateway.permits import SendDecision
from chivepier.gateway.permits import SendLimiter
from chivepier.gateway.quarantine import Ending
from chivepier.gateway.quarantine import Incarnation
from chivepier.gateway.quarantine import Overrides
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import shorten
from chivepier.gateway.quarantine import Trials
from chivepier.gateway.reach import Reach
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import AnswerMemory
from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.serving import CrashGuard
from chivepier.gateway.serving import Detour
from chivepier.gateway.serving import Dispatcher
from chivepier.gateway.serving import HeaderRecorder
from chivepier.gateway.serving import Identification
from chivepier.gateway.serving import Mover
from chivepier.gateway.serving import Planner
from chivepier.gateway.serving import Prompt
from chivepier.gateway.serving import RequestHandler
from chivepier.gateway.serving import RetryAfterScheduler
from chivepier.gateway.serving import RetryBudget
from chivepier.gateway.serving import SendGate
from chivepier.gateway.serving import ServingState
from chivepier.gateway.serving import TargetCalls
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import FakeCaller
from chivepier.gateway.serving.tests.fakeengines import FakeEngines
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportedLoad
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
    """Create a route of streams that may run only once."""
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
    """The components of an entry, connected to fake engines.

    :param names: names of targets; the service ``web`` gets them as ``w-…``
    :param engine: engine settings of the service ``llm``
    """

    def __init__(self, *names: str, engine: Engine = ENGINE):
        self.engines = FakeEngines()
        self.zones = Zones(REGIONS)
        self.table = TargetTable(1.0, self.zones)
        self.loads = LoadTracker("e1")
        self.queues = QueueTracker("e1", self.loads.changed)
        self.health = TargetHealth()
        self.state = ServingState()
        clock = LoopClock()
        self._lines = tempfile.TemporaryFile()
        log = EventLog("e1", self._lines.fileno())
        self.rng = rng = random.Random(1)
        self.limits = LimitTable("e1")
        self.backoffs = BackoffTable(rng)
        self.reports = ReportBoard()
        self.metrics = Metrics()
        balancer = LoadBalancer(
            self.table,
            self.health,
            self.loads,
            "a",
            clock,
            rng,
            self.limits,
            self.backoffs,
            self.reports,
        )
        self.permitted: bool | None = True
        self.asked: list[tuple[str, int]] = []
        self.decision = SendDecision(True, 0.0)
        self.claims: list[PermitRequest] = []
        permits = SendLimiter(
            zones=self.zones,
            limits=self.limits,
            bound=ColdBound(1.5, 5.0),
            ask=self._answer_permit,
            fallback=FallbackLimiter(rng),
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
            self.backoffs,
            self.freshness,
            clock,
            Metrics(),
        )
        self.leaving_targets = LeavingTargets(self.table)
        remarks = HeaderRecorder(
            self.limits,
            self.backoffs,
            self.leaving_targets,
            self.table,
            clock,
            log,
            Metrics(),
            self.reports,
        )
        self.reach = Reach(
            self.table, clock, rng, log, self.metrics, gate.may_probe
        )
        self.reach.watchers.append(balancer.avoidance.set_cut_off)
        calls = TargetCalls(self.engines, gate, remarks, self.reach)
        self.quarantine = Quarantine(
            "e1",
            self.table,
            calls.probe,
            Identification(self.state, calls).is_replaced,
            Overrides(),
            Trials(lambda: self.state.entries, rng),
            clock,
            log,
            Metrics(),
        )
        guard = CrashGuard(self.quarantine, clock)
        self.mover = Mover(
            calls,
            balancer,
            self.table,
            self.loads,
            guard,
            clock,
            log,
            Metrics(),
        )
        self.table.watchers.append(self.mover.handle_state_change)
        self.table.restart_watchers.append(self.mover.cancel_restarted)
        self.budget = RetryBudget(0.2, 10, 10)
        self.dispatcher = Dispatcher(
            state=self.state,
            table=self.table,
            balancer=balancer,
            health=self.health,
            loads=self.loads,
            queues=self.queues,
            mover=self.mover,
            calls=calls,
            budget=self.budget,
            guard=guard,
            gate=gate,
            retry_after=RetryAfterScheduler(rng),
            detour=Detour(self.reach, None, clock),
            clock=clock,
            log=log,
            metrics=self.metrics,
            answers=AnswerMemory(32 << 20),
        )
        self.quarantine.watchers.append(self.mover.cancel_held_back)
        self.planner = Planner(self.state, rng)
        self.serving = RequestHandler(
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
        granted = self.permitted and self.decision.granted
        return PermitAnswer(granted, self.decision.wait)

    def announce_limit(self, name: str, rate: float | None) -> None:
        """Set the rate limit that a target announced to another entry."""
        word = self.limits.find(name, 0)
        self.limits.put(
            VersionedLimit(
                instance=name,
                born=0,
                version=word.version + 1 if word else 1,
                rate=rate,
                source="e2",
                seen=tell_time(),
            )
        )

    def evacuate(self, zone: str, index: int = 1) -> None:
        """Put an operator's evacuation of a zone into force."""
        self.zones.put(ZoneOrder(zone, index, True, tell_time()))

    def readmit(self, zone: str, index: int = 2) -> None:
        """End the evacuation of a zone."""
        self.zones.put(ZoneOrder(zone, index, False, tell_time()))

    def configure(self, engine: Engine = ENGINE, **changes) -> None:
        """Activate a configuration."""
        fields = {
            "version": 1,
            "routes": ROUTES,
            "services": (
                Service(
                    name="llm",
                    connections=10,
                    engine=engine,
                    health_path="/health",
                ),
                Service(name="web", connections=10, health_path="/health"),
            ),
            "teams": (Team(name="t1", keys=("k1",), urgency=3),),
        }
        index = RouteIndex(Configuration(**{**fields, **changes}))
        self.state.adopt(index)

    def make_team(self, name: str, key: str) -> Team:
        """Create a team with one API key."""
        return Team(name=name, keys=(key,), urgency=3)

    def hold_back(self, request: CallerRequest) -> None:
        """Record that three targets of another entry ended under a request."""
        digest = self.planner.plan(request).digest
        now = tell_time()
        self.quarantine.merge(
            Ending(
                digest, Incarnation(f"other{number}", 1), now, "e2", "refused"
            )
            for number in range(3)
        )

    def order(
        self,
        let_through: CallerRequest | None = None,
        keep_out: CallerRequest | None = None,
    ) -> None:
        """Set an operator's overrides for requests."""
        heads = [
            (shorten(self.planner.plan(request).digest),) if request else ()
            for request in (let_through, keep_out)
        ]
        self.quarantine.overrides = Overrides(*heads)

    def leave(self, name: str) -> None:
        """Announce that a target is leaving."""
        target = make_target(name)
        target.state = TargetState.LEAVING
        target.number = 2
        self.table.put(target)

    def report_pace(self, name: str, *paces: float) -> None:
        """Report the paces of a target, one after the other."""
        for number, pace in enumerate(paces):
            load = ReportedLoad(running=0, waiting=0, slots=8, pace=pace)
            self.reports.record(name, 0, load, tell_time() + number / 1000)

    def restart(self, name: str, born: int) -> None:
        """Announce a restart of a target under the same name."""
        target = make_target(name)
        target.born = born
        self.table.put(target)

    def report_copying(self, entry: str, name: str, milliseconds: int) -> None:
        """Report copies of another entry off a target; 0 ends them."""
        copying = milliseconds > 0
        record = LoadRecord(entry, name, 1, 0, 0, milliseconds, copying)
        self.loads.put(record, tell_time())

    def report_waiting(
        self, entry: str, service: str, rank: int, waiting: int
    ) -> None:
        """Report the number of requests of a rank waiting at another entry."""
        record = QueueRecord(entry, service, rank, waiting)
        self.queues.put(record, tell_time())

    def read_lines(self, event: str) -> list[dict]:
        """Return the log lines of one event."""
        self._lines.seek(0)
        lines = [json.loads(line) for line in self._lines]
        return [line for line in lines if line["event"] == event]

    async def serve(self, request: CallerRequest) -> FakeCaller:
        """Handle a request to its end."""
        caller = FakeCaller()
        await self.serving.serve(request, caller)
        return caller

    def start(self, request: CallerRequest):
        """Handle a request in a new task."""
        caller = FakeCaller()
        work = self.serving.serve(request, caller)
        return caller, asyncio.create_task(work)


def make_request(path: str = "/llm/x", **changes) -> CallerRequest:
    """Create a request, with a prompt if its path is that of a stream."""
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
        "prompt": Prompt(tokens=100, max_output=900) if streams else None,
    }
    return CallerRequest(**{**fields, **changes})


async def fail(parts: Parts, request: CallerRequest) -> Failure:
    """Handle a request that must fail, and return its failure."""
    with pytest.raises(RequestError) as caught:
        await parts.serve(request)
    return caught.value.failure


async def begin(parts: Parts, path: str = "/llm/x", events: int = 2):
    """Start a stream and relay its first events to the caller.

    :returns: the caller, the task that handles the request, and the run
    """
    caller, task = parts.start(make_request(path))
    run = await parts.engines.wait_run(1)
    run.make(events)
    await caller.wait_events(events)
    return caller, task, run


async def begin_without_length(parts: Parts, path: str = "/llm/x"):
    """Start a stream without a length and relay its first two events."""
    parts.engines.facts = AnswerFacts(framed=False)
    return await begin(parts, path)


async def finish(task: asyncio.Task, run: FakeAnswer, events: int = 0) -> None:
    """Send the last events of a run, end it and await its task."""
    run.make(events)
    run.end()
    await task


async def wait_until(condition) -> None:
    """Wait for a condition; the timeout of the test bounds the wait."""
    while not condition():
        await asyncio.sleep(0.01)


def play(test, *names: str, **options) -> None:
    """Run a test coroutine, for at most ten seconds of simulated time."""

    async def work():
        async with asyncio.timeout(10):
            parts = Parts(*names, **options)
            await test(parts)
            await parts.mover.close()
            await parts.quarantine.close()

    play_time(work())
