"""Entries without a network before a few plain targets that report."""

import asyncio
import collections
import random

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.gateway.targets import ReportedLoad
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time
from chivepier.types import RequestError

SLOTS, QUEUE, WORK = 6, 24, 0.045
OBJECTIVE, TIMEOUT = 0.208, 1.6
PLAIN = make_route(
    name="p",
    prefix="/plain/",
    pools=(("web", 1.0),),
    streaming=False,
    objective=OBJECTIVE,
    timeout=TIMEOUT,
)


@attrs.define(kw_only=True)
class PlainTarget:
    """A target with places and a queue; ``paces`` are (from, to, pace)."""

    name: str
    paces: tuple[tuple[float, float, float], ...] = ()
    failing: bool = False
    running: int = 0
    waiting: int = 0
    most: int = 0
    starts: list[float] = attrs.field(factory=list)
    turns: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )

    def get_pace(self, seconds: float) -> float:
        """Return the pace at a time since the start of the play."""
        return next((p for a, b, p in self.paces if a <= seconds < b), 1.0)

    async def work(self, seconds: float) -> int:
        """Run one request and return its status."""
        self.starts.append(seconds)
        if self.failing:
            return 500
        if self.waiting >= QUEUE:
            return 503
        self.waiting += 1
        self.most = max(self.most, self.running + self.waiting)
        async with self.turns:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(WORK * self.get_pace(seconds))
            self.running -= 1
        return 200


class PlainSite:
    """Entries and targets whose reports arrive 30 to 60 ms late elsewhere.

    :param targets: the targets
    :param entries: number of entries
    :param reporting: whether targets tell their load
    """

    def __init__(self, *targets, entries: int = 66, reporting: bool = True):
        self._rng = random.Random(7)
        self.targets = {target.name: target for target in targets}
        self._reporting = reporting
        self.began = tell_time()
        self.outcomes = collections.Counter()
        self.times: list[tuple[float, float]] = []
        self.entries = [Parts() for _ in range(entries)]
        for number, entry in enumerate(self.entries):
            entry.rng.seed(number)
            entry.configure(version=2, routes=(PLAIN,))
            entry.engines.send = self._make_send(entry)
            for name in self.targets:
                target = make_target(name, "web")
                target.slots = SLOTS
                entry.table.put(target)

    def _make_send(self, entry):
        async def send(target, request, order, contact):
            now = tell_time()
            contact.begin()
            part = self.targets[target.instance]
            await asyncio.sleep(0.001)
            status = await part.work(now - self.began)
            facts = AnswerFacts(not_run=status == 503)
            if self._reporting:
                facts = attrs.evolve(facts, load=self._tell(entry, part))
            answer = FakeAnswer(
                target.instance, request.id, 0, status=status, facts=facts
            )
            answer.end()
            await asyncio.sleep(0.001)
            contact.record_head(facts)
            return answer

        return send

    def _tell(self, teller, part: PlainTarget) -> ReportedLoad:
        now = tell_time()
        load = ReportedLoad(
            running=part.running,
            waiting=part.waiting,
            slots=SLOTS,
            pace=part.get_pace(now - self.began),
        )
        loop = asyncio.get_running_loop()
        for index, delay in enumerate((0.03, 0.045, 0.06)):
            group = [e for e in self.entries[index::3] if e is not teller]
            loop.call_later(delay, self._relay, group, part.name, load, now)
        return load

    def _relay(self, entries, name, load, made_at) -> None:
        for entry in entries:
            entry.reports.record(name, 0, load, made_at)

    async def call(self, **changes) -> None:
        """Send a request to any entry and note its time and outcome."""
        began = tell_time()
        request = make_request("/plain/x", **changes)
        outcome = "error"
        try:
            entry = self._rng.choice(self.entries)
            entry.freshness.note_update()
            caller = await entry.serve(request)
            outcome = caller.status
        except RequestError as error:
            outcome = error.failure.kind.value
        self.outcomes[outcome] += 1
        self.times.append((began - self.began, tell_time() - began))

    async def load(self, rate: float, seconds: float) -> None:
        """Send requests at random times, and await their outcomes."""
        end = self.began + seconds
        async with asyncio.TaskGroup() as group:
            while tell_time() < end:
                group.create_task(self.call())
                await asyncio.sleep(self._rng.expovariate(rate))


def play_site(test, *targets, **options) -> None:
    """Run a test coroutine in played time with a site."""

    async def work():
        site = PlainSite(*targets, **options)
        await test(site)
        for entry in site.entries:
            await entry.mover.close()
            await entry.quarantine.detector.close()

    play_time(work())
