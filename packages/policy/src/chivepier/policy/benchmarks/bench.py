"""Drives a policy with calls, engines and faults on an event heap."""

import array
import collections
import heapq
import itertools
import math
import random

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.benchmarks.call import Call
from chivepier.policy.benchmarks.engine import FakeEngine
from chivepier.policy.benchmarks.scenario import EVENT_SECONDS
from chivepier.policy.benchmarks.scenario import Scenario
from chivepier.policy.benchmarks.sequence import Sequence
from chivepier.policy.benchmarks.site import Site
from chivepier.policy.grant import Grant
from chivepier.policy.policy import Policy
from chivepier.policy.refusal import Refusal
from chivepier.policy.stop import Stop
from chivepier.policy.targetview import TargetView
from chivepier.types import ManualClock

TICK_SECONDS = 0.05
PROGRESS_SECONDS = 0.25
ANNOUNCE_SECONDS = 1.0
EXPIRE_SECONDS = 3.0
PATIENCE_SECONDS = 30.0
MAX_ATTEMPTS = 5
MAX_HASHES = 32
CONNECT_SECONDS = 0.001
SHARE_SECONDS = EVENT_SECONDS + 10.0


class Bench:
    """One run of one policy.

    Callers that are refused come back after the given time, up to
    :data:`MAX_ATTEMPTS` attempts; a stream that was lost or stopped starts
    again.  What no policy may know (lengths, faults) stays in here.
    """

    def __init__(
        self,
        site: Site,
        scenario: Scenario,
        calls: list[Call],
        make_policy,
        duration: float,
    ):
        self.site = site
        self.scenario = scenario
        self.calls = calls
        self.duration = duration
        self.clock = ManualClock()
        self.gaps: dict = collections.defaultdict(lambda: array.array("d"))
        self.engines: dict[str, FakeEngine] = {}
        self.policy: Policy = make_policy(self.clock, itertools.count(1))
        self.attempts: dict[str, Call] = {}
        self.running: dict[int, Sequence] = {}
        self.targets: dict[int, str] = {}
        self.served: dict[str, float] = collections.defaultdict(float)
        self.marked: dict[str, float] = {}
        self.closed = False
        self.away: set[Call] = set()
        self.stops = 0
        self.refusals: dict = collections.Counter()
        self._rng = random.Random(site.targets)
        self._heap: list = []
        self._order = itertools.count()

    def run(self) -> "Bench":
        """Run to the end.

        :returns: itself
        """
        for number in range(self.site.targets):
            self._add_engine(number)
        for call in self.calls:
            self._at(call.at, self._attempt, call)
        self._at(TICK_SECONDS, self._tick, None)
        self._at(SHARE_SECONDS, self._mark, None)
        self._plan_faults()
        while self._heap:
            due, _, action, argument = heapq.heappop(self._heap)
            if due > self.duration:
                break
            self.clock.advance(due - self.clock.monotonic())
            action(argument)
        return self

    def _at(self, due: float, action, argument) -> None:
        item = due, next(self._order), action, argument
        heapq.heappush(self._heap, item)

    def _after(self, seconds: float, action, argument) -> None:
        self._at(self.clock.monotonic() + seconds, action, argument)

    def _add_engine(self, number: int) -> None:
        zones = self.site.zones
        name = f"t{number}"
        engine = FakeEngine(
            name, zones[number % len(zones)], self.site.shape, self.gaps
        )
        self.engines[name] = engine
        self.policy.set_target(self._view(engine))
        offset = ANNOUNCE_SECONDS * number / self.site.targets
        self._at(offset, self._announce, engine)
        self._at(offset / 4 + 0.01, self._progress, engine)

    def _plan_faults(self) -> None:
        engines = list(self.engines.values())
        for engine in engines[: self.scenario.deaths]:
            self._at(EVENT_SECONDS, self._die, engine)
        reclaimed = int(len(engines) * self.scenario.reclaimed)
        for engine in engines[:reclaimed]:
            self._at(EVENT_SECONDS, self._reclaim, engine)
            end = EVENT_SECONDS + self.scenario.notice
            self._at(end, self._die, engine)

    def _view(self, engine: FakeEngine) -> TargetView:
        cached = frozenset()
        if self._rng.random() >= self.scenario.lost:
            cached = engine.cache.keys()
        return TargetView(
            target=engine.name,
            address=engine.name,
            zone=engine.zone,
            models=frozenset((self.site.model,)),
            capacity_tokens=engine.shape.capacity_tokens,
            max_streams=engine.shape.max_streams,
            leaving=engine.leaving,
            running=len(engine.running),
            waiting=len(engine.waiting),
            used_tokens=engine.used_tokens,
            preemptions=engine.preemptions,
            cached=cached,
        )

    def _announce(self, engine: FakeEngine) -> None:
        if engine.dead:
            return
        self._after(self.scenario.lag, self._hear, self._view(engine))
        self._after(ANNOUNCE_SECONDS, self._announce, engine)

    def _hear(self, view: TargetView) -> None:
        engine = self.engines[view.target]
        if engine.dead or engine.leaving and not view.leaving:
            return
        self.policy.set_target(view)
        self._settle()

    def _reclaim(self, engine: FakeEngine) -> None:
        engine.leaving = True
        self._hear(self._view(engine))

    def _die(self, engine: FakeEngine) -> None:
        engine.dead = True
        lost = engine.running + engine.waiting
        engine.running, engine.waiting = [], []
        self._after(EXPIRE_SECONDS, self._expire, engine)
        for sequence in lost:
            self._end(sequence, PermitOutcome.TARGET_FAILED)
            self._interrupt(sequence, 0.05)
        self._settle()

    def _expire(self, engine: FakeEngine) -> None:
        self.policy.remove_target(engine.name)
        self._settle()

    def _interrupt(self, sequence: Sequence, delay: float) -> None:
        call = self._call(sequence.ask.request)
        call.stalled += sequence.stalled
        if sequence.first is not None:
            self._first(call, sequence)
            call.interrupted = sequence.last
            call.first = None
        self.away.add(call)
        self._after(delay, self._attempt, call)

    def _call(self, request: str) -> Call:
        return self.attempts[request]

    def _attempt(self, call: Call) -> None:
        now = self.clock.monotonic()
        self.away.discard(call)
        call.attempts += 1
        call.attempted = now
        request = f"r{call.number}.{call.attempts}"
        self.attempts[request] = call
        stream = call.stream
        ask = Ask(
            request=request,
            team=stream.team,
            template=stream.template,
            model=self.site.model,
            urgency=stream.urgency,
            weight=stream.weight,
            prompt_tokens=call.prompt,
            max_tokens=stream.limit,
            prefix=call.chain[:MAX_HASHES],
            zone=call.zone,
            excluded=call.excluded,
            arrived=now,
            deadline=now + PATIENCE_SECONDS,
            queue_limit=self.site.queue_limit,
        )
        self.policy.submit(ask)
        self._settle()

    def count_served(self) -> dict[str, float]:
        """Return the tokens delivered so far, by team."""
        served = collections.Counter(self.served)
        for sequence in self.running.values():
            served[sequence.ask.team] += sequence.produced
        return served

    def _mark(self, _) -> None:
        self.marked = self.count_served()

    def _tick(self, _) -> None:
        self._settle()
        self._after(TICK_SECONDS, self._tick, None)

    def _progress(self, engine: FakeEngine) -> None:
        if engine.dead:
            return
        for sequence in engine.running:
            self.policy.progress(sequence.permit, sequence.produced)
        self._after(PROGRESS_SECONDS, self._progress, engine)

    def _settle(self) -> None:
        for decision in self.policy.decide():
            match decision:
                case Grant():
                    self._after(CONNECT_SECONDS, self._connect, decision)
                case Refusal():
                    self._refuse(decision)
                case Stop():
                    self._stop(decision)

    def _connect(self, grant: Grant) -> None:
        call = self._call(grant.request)
        engine = self.engines[grant.target]
        if engine.dead:
            self.policy.release(grant.permit, 0, PermitOutcome.TARGET_FAILED)
            call.excluded |= {grant.target}
            self._after(CONNECT_SECONDS, self._attempt, call)
            self._settle()
            return
        ask = Ask(
            request=grant.request,
            team=call.stream.team,
            template=call.stream.template,
            model=self.site.model,
            urgency=call.stream.urgency,
            prompt_tokens=call.prompt,
        )
        now = self.clock.monotonic()
        sequence = Sequence(ask, grant.permit, call, now)
        self.running[grant.permit] = sequence
        self.targets[grant.permit] = grant.target
        engine.submit(sequence)
        if not engine.busy:
            self._step(engine)

    def _step(self, engine: FakeEngine) -> None:
        if engine.dead:
            return
        finished, seconds = engine.step(self.clock.monotonic())
        if seconds is not None:
            self._after(seconds, self._step, engine)
        for sequence in finished:
            self._finish(sequence)
        if finished:
            self._settle()

    def _finish(self, sequence: Sequence) -> None:
        call = self._call(sequence.ask.request)
        self._first(call, sequence)
        call.stalled += sequence.stalled
        call.finished = self.clock.monotonic()
        self._end(sequence, PermitOutcome.FINISHED)

    def _first(self, call: Call, sequence: Sequence) -> None:
        call.first = sequence.first
        if call.interrupted is not None:
            call.stalled += sequence.first - call.interrupted
            call.interrupted = None
        call.waits.append(sequence.first - call.attempted)

    def _end(self, sequence: Sequence, outcome: PermitOutcome) -> None:
        self.running.pop(sequence.permit, None)
        team = sequence.ask.team
        self.served[team] += sequence.produced
        self.policy.release(sequence.permit, sequence.produced, outcome)

    def _refuse(self, refusal: Refusal) -> None:
        call = self._call(refusal.request)
        now = self.clock.monotonic()
        call.answered.append(now - call.attempted)
        stream = call.stream
        self.refusals[stream.team, stream.urgency] += 1
        if call.attempts >= MAX_ATTEMPTS:
            call.given_up = True
            return
        if not math.isfinite(refusal.retry_after):
            raise ValueError("a refusal must say when to come back")
        self.away.add(call)
        delay = refusal.retry_after * (1 + self._jitter(call))
        self._after(delay + 0.01, self._attempt, call)

    def _jitter(self, call: Call) -> float:
        return random.Random(call.number * 31 + call.attempts).random() / 2

    def _stop(self, stop: Stop) -> None:
        sequence = self.running.get(stop.permit)
        if sequence is None:
            return
        self.stops += 1
        engine = self.engines[self.targets[stop.permit]]
        engine.cancel(sequence)
        self._end(sequence, PermitOutcome.CANCELLED)
        self._interrupt(sequence, stop.retry_after)
