"""Entries without a network before plain targets that report their load."""

import asyncio
import collections
import random

import attrs

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.gateway.serving.tests.parts import PLAIN
from chivepier.gateway.targets import ReportedLoad
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time
from chivepier.types import RequestError

SLOTS, QUEUE, WORK = 6, 24, 0.045
ROUTE = attrs.evolve(PLAIN, objective=0.208, timeout=1.6)


@attrs.define(kw_only=True)
class PlainTarget:
    """A target that takes 2.5 times as long for 0.6 s from each moment."""

    moments: tuple[float, ...] = ()
    failing: bool = False
    present: int = 0
    starts: list[float] = attrs.field(factory=list)
    places: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )

    def get_pace(self, seconds: float) -> float:
        """Return the pace at a time since the start of the play."""
        slow = any(start <= seconds < start + 0.6 for start in self.moments)
        return 2.5 if slow else 1.0

    async def run(self, seconds: float) -> int:
        """Run one request and return its status."""
        self.starts.append(seconds)
        if self.failing:
            return 500
        if self.present >= SLOTS + QUEUE:
            return 503
        self.present += 1
        async with self.places:
            await asyncio.sleep(WORK * self.get_pace(seconds))
        self.present -= 1
        return 200


class PlainSite:
    """Entries and targets, whose reports arrive 30 to 60 ms late elsewhere."""

    def __init__(self, targets, entries: int = 66, reporting: bool = True):
        self._rng = random.Random(7)
        self._reporting = reporting
        self._began = tell_time()
        self.targets = targets
        self.statuses: collections.Counter = collections.Counter()
        self.times: list[tuple[float, float]] = []
        self.entries = [Parts() for _ in range(entries)]
        for number, entry in enumerate(self.entries):
            entry.rng.seed(number)
            entry.configure(version=2, routes=(ROUTE,))
            entry.engines.send = self._make_send(entry)
            for name in map(str, range(len(targets))):
                target = make_target(name, "web")
                entry.table.put(attrs.evolve(target, slots=SLOTS))

    def _make_send(self, entry):
        async def send(target, request, order, contact):
            contact.begin()
            name = target.instance
            part = self.targets[int(name)]
            status = await part.run(tell_time() - self._began)
            load = self._report(entry, name, part) if self._reporting else None
            facts = AnswerFacts(not_run=status == 503, load=load)
            answer = FakeAnswer(name, "r", 0, status=status, facts=facts)
            answer.end()
            contact.record_head(facts)
            return answer

        return send

    def _report(self, teller, name: str, part: PlainTarget) -> ReportedLoad:
        now, loop = tell_time(), asyncio.get_running_loop()
        running = min(part.present, SLOTS)
        load = ReportedLoad(
            running=running,
            waiting=part.present - running,
            slots=SLOTS,
            pace=part.get_pace(now - self._began),
        )
        for index, delay in enumerate((0.03, 0.045, 0.06)):
            others = [e for e in self.entries[index::3] if e is not teller]
            loop.call_later(delay, self._relay, others, name, load, now)
        return load

    def _relay(self, entries, name, load, made_at) -> None:
        for entry in entries:
            entry.reports.record(name, 0, load, made_at)

    async def _call(self) -> None:
        began = tell_time()
        entry = self._rng.choice(self.entries)
        entry.freshness.note_update()
        try:
            caller = await entry.serve(make_request("/plain/x"))
            self.statuses[caller.status] += 1
        except RequestError as error:
            self.statuses[error.failure.kind] += 1
        self.times.append((began - self._began, tell_time() - began))

    async def load(self, rate: float, seconds: float) -> None:
        """Send requests at random times, and await their outcomes."""
        async with asyncio.TaskGroup() as group:
            while tell_time() < self._began + seconds:
                group.create_task(self._call())
                await asyncio.sleep(self._rng.expovariate(rate))

    def count_starts(self, begin: float, end: float) -> list[int]:
        """Return the requests that each target got within a time."""
        return [
            sum(begin <= start < end for start in target.starts)
            for target in self.targets
        ]


def play_site(rate: float, seconds: float, *first, **options) -> PlainSite:
    """Play a load on some targets and two common ones; return the site."""

    async def work():
        targets = [*first, PlainTarget(), PlainTarget()]
        site = PlainSite(targets, **options)
        await site.load(rate, seconds)
        return site

    return play_time(work())
