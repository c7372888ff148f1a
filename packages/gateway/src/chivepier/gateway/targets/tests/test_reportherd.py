"""Tests that choices by late reports don't meet at one target."""

import collections
import heapq
import itertools
import random

import pytest

from chivepier.gateway.targets import draw_by_reports
from chivepier.gateway.targets import DrawOption
from chivepier.gateway.targets import pack_report
from chivepier.gateway.targets import Reading
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportedLoad

ENTRIES, TARGETS, SLOTS = 66, ("a", "b", "c"), 6
WORK_SECONDS = 0.1
ARRIVALS_PER_SECOND = 0.8 * len(TARGETS) * SLOTS / WORK_SECONDS
REQUESTS = 4_000


class Site:
    """Plain targets behind entries that hear each other's reports late.

    :param by_reports: whether entries choose by reports, or by what they
        have in flight themselves
    :param seed: seed of arrivals and draws
    :param delay: seconds until the others know a report
    """

    def __init__(self, by_reports: bool, seed: int, delay: float):
        self._delay = delay
        self._by_reports = by_reports
        self._rng = random.Random(seed)
        self._boards = [ReportBoard() for _ in range(ENTRIES)]
        self._own: collections.Counter = collections.Counter()
        self._at: dict[str, list[int]] = {name: [] for name in TARGETS}
        self._told: dict[str, tuple[int, float, ReportedLoad]] = {}
        self._events: list = []
        self._numbers = itertools.count()
        self.met: list[int] = []

    def play(self) -> None:
        """Play all requests; ``met`` are the counts that each one found."""
        at = 0.0
        for _ in range(REQUESTS):
            at += self._rng.expovariate(ARRIVALS_PER_SECOND)
            self._plan(at, self._arrive, self._rng.randrange(ENTRIES))
        while self._events:
            now, _, work, *values = heapq.heappop(self._events)
            work(now, *values)

    def _plan(self, at, work, *values) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), work, *values))

    def _arrive(self, now: float, entry: int) -> None:
        self._hear(now, entry)
        board = self._boards[entry]
        options = []
        for name in TARGETS:
            own = self._own[entry, name]
            told, age = board.count_requests(name, 1, now), 0.0
            if not self._by_reports or told is None:
                told = own
            else:
                age = now - board.find(name, 1).at
            options.append(
                DrawOption(own=own, requests=told, slots=SLOTS, age=age)
            )
        chosen = TARGETS[draw_by_reports(options, self._rng)]
        self._own[entry, chosen] += 1
        board.note_start(chosen, now)
        queue = self._at[chosen]
        self.met.append(len(queue))
        queue.append(entry)
        if len(queue) <= SLOTS:
            self._begin(now, chosen, entry)

    def _begin(self, now: float, name: str, entry: int) -> None:
        end = now + self._rng.uniform(0.5, 1.5) * WORK_SECONDS
        self._plan(end, self._finish, name, entry)

    def _finish(self, now: float, name: str, entry: int) -> None:
        queue = self._at[name]
        queue.remove(entry)
        if len(queue) >= SLOTS:
            self._begin(now, name, queue[SLOTS - 1])
        self._own[entry, name] -= 1
        load = ReportedLoad(
            running=min(SLOTS, len(queue)),
            waiting=max(0, len(queue) - SLOTS),
            slots=SLOTS,
        )
        self._boards[entry].record(name, 1, load, now)
        self._plan(now + self._delay, self._tell, entry, name, load)

    def _tell(
        self, now: float, source: int, name: str, load: ReportedLoad
    ) -> None:
        self._told[name] = (source, now - self._delay, load)

    def _hear(self, now: float, entry: int) -> None:
        for name, (source, at, load) in self._told.items():
            if source != entry:
                report = pack_report(name, 1, Reading(load, at), now)
                self._boards[entry].put(report, now)


@pytest.mark.parametrize("delay", (0.05, 0.3))
def test_late_reports_are_no_worse_than_none_and_make_no_herd(delay):
    """Guards against 66 entries at the target that looked idle last."""
    informed = [Site(True, seed, delay) for seed in range(3)]
    blind = [Site(False, seed, delay) for seed in range(3)]
    for site in informed + blind:
        site.play()
    for measure in (sum, max):
        assert sum(measure(site.met) for site in informed) <= sum(
            measure(site.met) for site in blind
        )
