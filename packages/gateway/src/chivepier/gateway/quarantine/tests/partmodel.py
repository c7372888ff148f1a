"""A drawn day of requests with parts, at entries that share evidence."""

import asyncio
import heapq
import itertools
import os
import random

import attrs

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.lostrequest import LostRequest
from chivepier.gateway.quarantine.overrides import Overrides
from chivepier.gateway.quarantine.quarantine import Quarantine
from chivepier.gateway.quarantine.trials import Trials
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import ManualClock

TARGETS = 6
# Time that a crashed target is away, from the head of an answer to a crash,
# and until other entries know what one has seen, in seconds.
AWAY_SECONDS = 2.0
CRASH_SECONDS = 0.1
TELL_SECONDS = 0.01
# Range of the time that targets take to answer, in seconds.
SERVICE_SECONDS = (0.2, 3.0)
# Parts that each request has besides the first one and the crashing one.
SUBJECTS, RARE_PARTS = 200, 3_000
MAX_ATTEMPTS = 3


@attrs.frozen
class Request:
    """One request of the day.

    :param number: tells it from all others
    :param parts: its shared parts
    :param crashes: whether it ends each target that begins to answer it
    :param entry: index of the entry that it comes to
    """

    number: int
    parts: tuple[str, ...]
    crashes: bool
    entry: int


@attrs.define
class Tally:
    """What happened during the day.

    :param crashes: times at which requests ended targets
    :param waves: number of targets that ended by themselves
    :param arrivals: times at which crashing requests began at targets
    :param refused: number of sound requests that were refused
    :param served: number of sound requests that were answered
    :param refused_parts: sound parts among those that requests were held for
    """

    crashes: list[float] = attrs.field(factory=list)
    waves: int = 0
    arrivals: list[float] = attrs.field(factory=list)
    refused: int = 0
    served: int = 0
    refused_parts: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class Run:
    """A request at a target."""

    request: Request
    attempt: int
    target: Target
    sent_at: float


class PartModel:
    """Plays a day of requests, crashes and what entries tell each other.

    :param seed: seed of the random number generator
    :param entries: number of entries
    :param rate: sound requests per second
    :param crashing_rate: requests per second that have the crashing part
    :param wave_seconds: interval of crashes that no request causes; ``None``
        for none
    :param crashing: the crashing parts; each request that crashes has one
    """

    def __init__(
        self,
        seed: int,
        entries: int = 5,
        rate: float = 20.0,
        crashing_rate: float = 2.0,
        wave_seconds: float | None = None,
        crashing: tuple[str, ...] = ("bad",),
    ):
        self.tally = Tally()
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self._rng = random.Random(seed)
        self._rate, self._crashing_rate = rate, crashing_rate
        self._wave_seconds = wave_seconds
        self._crashing = crashing
        self._numbers = itertools.count()
        self._queue: list = []
        self._order = itertools.count()
        self._runs: dict[str, list[Run]] = {}
        self._targets: list[Target | None] = [None] * TARGETS
        self._table = TargetTable(1.0)
        null = EventLog("e", os.open(os.devnull, os.O_WRONLY))
        self.entries = [
            Quarantine(
                f"e{number}",
                self._table,
                self._probe,
                self._is_replaced,
                Overrides(),
                Trials(lambda: entries, self._rng),
                self.clock,
                null,
                Metrics(),
            )
            for number in range(entries)
        ]
        for index, entry in enumerate(self.entries):
            entry.publish = self._make_publisher(index)

    async def _probe(self, target: Target) -> Liveness:
        return Liveness.UNKNOWN

    async def _is_replaced(self, target: Target) -> bool | None:
        return None

    def _make_publisher(self, index: int):
        def publish(record) -> None:
            for number, entry in enumerate(self.entries):
                if number != index:
                    self._after(TELL_SECONDS, entry.merge, [record])

        return publish

    def _after(self, seconds: float, work, *args) -> None:
        at = self.clock.monotonic() + seconds
        heapq.heappush(self._queue, (at, next(self._order), work, args))

    async def play(self, seconds: float) -> Tally:
        """Play some seconds of the day."""
        end = self.clock.monotonic() + seconds
        for index in range(TARGETS):
            self._start_target(index)
        self._after(0.0, self._come, False)
        if self._crashing:
            self._after(5.0, self._come, True)
        if self._wave_seconds is not None:
            self._after(self._wave_seconds, self._crash_some)
        while self._queue and self._queue[0][0] < end:
            at, _, work, args = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            work(*args)
            await asyncio.sleep(0)
        for entry in self.entries:
            await entry.close()
        return self.tally

    def _start_target(self, index: int) -> None:
        name = f"i{next(self._numbers)}"
        self._targets[index] = target = Target(
            instance=name,
            service="s",
            address=f"{index}:80",
            zone="z",
            state=TargetState.READY,
            number=1,
            slots=24,
            heard=self.clock.monotonic(),
        )
        self._runs[name] = []
        self._table.put(target)

    def _come(self, crashes: bool) -> None:
        rate = self._crashing_rate if crashes else self._rate
        self._after(self._rng.expovariate(rate), self._come, crashes)
        rare = int(self._rng.paretovariate(0.6)) % RARE_PARTS
        subject = int(self._rng.paretovariate(0.8)) % SUBJECTS
        parts = ["first", f"s{subject}", f"r{rare}"]
        if crashes:
            bad = self._rng.choice(self._crashing)
            parts.insert(self._rng.randint(0, 3), bad)
        entry = self._rng.randrange(len(self.entries))
        request = Request(next(self._numbers), tuple(parts), crashes, entry)
        self._send(request, 1)

    def _send(self, request: Request, attempt: int) -> None:
        quarantine = self.entries[request.entry]
        hold = quarantine.find_hold(
            str(request.number), request.parts, f"t{request.number % 3}"
        )
        if hold is not None:
            if hold.settled_at > self.clock.monotonic():
                self._after(0.05, self._send, request, attempt)
            elif not request.crashes:
                self.tally.refused += 1
                self.tally.refused_parts |= hold.parts
            return
        ready = [target for target in self._targets if target is not None]
        if not ready:
            self._after(0.2, self._send, request, attempt)
            return
        target = self._rng.choice(ready)
        run = Run(request, attempt, target, self.clock.monotonic())
        self._runs[target.instance].append(run)
        if request.crashes:
            self.tally.arrivals.append(self.clock.monotonic())
            self._after(CRASH_SECONDS, self._crash_by, run)
        else:
            seconds = self._rng.uniform(*SERVICE_SECONDS)
            self._after(seconds, self._answer, run)

    def _answer(self, run: Run) -> None:
        runs = self._runs[run.target.instance]
        if run not in runs:
            return
        runs.remove(run)
        self.tally.served += 1
        quarantine = self.entries[run.request.entry]
        quarantine.note_answered(str(run.request.number))
        quarantine.note_sound(run.request.parts, run.target)

    def _crash_by(self, run: Run) -> None:
        if run in self._runs[run.target.instance]:
            self.tally.crashes.append(self.clock.monotonic())
            self._crash(self._targets.index(run.target))

    def _crash_some(self) -> None:
        self._after(self._wave_seconds, self._crash_some)
        for index in self._rng.sample(range(TARGETS), TARGETS // 2):
            if self._targets[index] is not None:
                self.tally.waves += 1
                self._crash(index)

    def _crash(self, index: int) -> None:
        target, self._targets[index] = self._targets[index], None
        runs = self._runs[target.instance]
        self._runs[target.instance] = []
        for run in runs:
            self._lose(run)
        self._after(AWAY_SECONDS, self._start_target, index)

    def _lose(self, run: Run) -> None:
        now, request = self.clock.monotonic(), run.request
        quarantine = self.entries[request.entry]
        quarantine.note_lost(
            LostRequest(
                id=str(request.number),
                digest=str(request.number),
                team=f"t{request.number % 3}",
                target=run.target,
                sent_at=run.sent_at,
                first_event_at=run.sent_at,
                disconnected=False,
                lost_at=now,
                parts=request.parts,
                software=quarantine.describe_software(run.target),
                answering=True,
            )
        )
        quarantine.detector.note_ended(
            Incarnation.of(run.target), now, "refused"
        )
        if run.attempt < MAX_ATTEMPTS:
            self._after(0.1, self._send, request, run.attempt + 1)
