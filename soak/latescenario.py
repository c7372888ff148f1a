"""Requests that come before and during a planned stop of their entry."""

import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import time

import aiohttp
import attrs

from soak.cluster import CALLER_PORT
from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.latecall import LateCall
from soak.longtarget import LongTarget
from soak.process import Process
from soak.run import make_config

ENTRIES, TARGETS = 3, 3
GRACE_SECONDS = 8.0
ROUTE_TIMEOUT_MS = 10_000
# Seconds between two requests of a kind.
INTERVAL_SECONDS = 0.1
# Seconds before the stop order in which requests are sent, too.
EARLY_SECONDS = 0.5
# Seconds after the stop order up to which a request may be cut at the end, if
# its target is then at work on it.
EXCUSED_SECONDS = 3.0
# Share of the grace in which a target must be at work for that.
LAST_SHARE = 1 / 6
# Configurations that are sent during a series of stops.
CHANGES = 4
# Share of the polls of a process that ends at which it is ordered to stop once
# more.
AGAIN_SHARE = 0.02
# Seconds in which a request that was read and not passed on may be closed.
LOSS_SLACK_SECONDS = 0.2


@attrs.frozen
class Kind:
    """A kind of request.

    :param route: name of its route
    :param work_ms: time that targets work on it
    :param deadline_ms: time that callers wait
    :param kept: whether its connections are made before the stop order
    :param slow_body: whether its body comes some time after its head
    """

    route: str
    work_ms: int
    deadline_ms: int
    kept: bool = False
    slow_body: bool = False

    def __str__(self) -> str:
        marks = " kept" * self.kept + " slow-body" * self.slow_body
        return f"{self.route} {self.work_ms}/{self.deadline_ms}{marks}"


KINDS = (
    Kind("once", 20, 1000),
    Kind("once", 20, 9000, kept=True),
    Kind("once", 1000, 2500, kept=True),
    Kind("once", 6000, 9000),
    Kind("once", 6000, 9000, kept=True),
    Kind("once", 20, 9000, kept=True, slow_body=True),
    Kind("again", 6000, 9000, kept=True),
    Kind("stream", 6000, 9000, kept=True),
    Kind("resume", 6000, 9000),
)
# Kinds whose length is known before the stop.
KNOWN_KINDS = (
    Kind("once", 1500, 9000),
    Kind("again", 1500, 9000, kept=True),
    Kind("stream", 2500, 9000, kept=True),
    Kind("resume", 6000, 9000),
)
# Requests of a kind that make its length known.
KNOWN_COUNT = 4
# Seconds after a stop order in which an entry may not know of it yet.
ORDER_SECONDS = 0.2


@attrs.define
class Stop:
    """A planned stop of an entry, in monotonic seconds.

    :param at: when it was ordered
    :param ended_at: when its process had ended
    """

    at: float
    ended_at: float | None = None


class LateScenario:
    """Stops an entry while requests of several kinds come.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param in_series: whether another entry is stopped meanwhile, orders are
        repeated, and the configuration changes
    :param kinds: what is sent
    :param grace_seconds: time from the stop order to the kill
    :param known: whether that entry, and the one that is not stopped, have
        served each kind before
    :ivar calls: all requests
    :ivar repeats: those sent to another entry after a refusal
    :ivar stops: the stops of entries, by their addresses
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        in_series: bool = False,
        kinds: tuple[Kind, ...] = KINDS,
        grace_seconds: float = GRACE_SECONDS,
        known: bool = False,
    ):
        self.checker = InvariantChecker()
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._grace = grace_seconds
        self._known = known
        self._in_series = in_series
        self._number = 0
        self._calm = ""
        self.calls: list[LateCall] = []
        self.repeats: list[LateCall] = []
        self.stops: dict[str, Stop] = {}

        def make(address: str, controls, rng) -> LongTarget:
            return LongTarget(address, address, controls, self.checker, rng)

        self._cluster = Cluster(folder, block, seed, ENTRIES, TARGETS, make)
        for entry in self._cluster.entries:
            entry.grace_seconds = grace_seconds

    async def run(self) -> None:
        """Stop an entry while requests come, and wait for all answers."""
        cluster = self._cluster
        config = make_config(1, ROUTE_TIMEOUT_MS)
        async with cluster.start(config) as session:
            for entry in cluster.entries:
                await self._wait_until_served(entry)
            first, second, calm = self._rng.sample(cluster.entries, ENTRIES)
            self._calm = calm.ip
            if self._known:
                await self._make_known(first, calm)
            async with asyncio.TaskGroup() as group:
                for kind in self._kinds:
                    group.create_task(self._send_series(kind, first))
                group.create_task(self._stop(first, EARLY_SECONDS))
                if not self._in_series:
                    return
                for kind in self._kinds[: len(self._kinds) // 2]:
                    group.create_task(self._send_series(kind, second))
                pause = self._rng.uniform(1.0, self._grace)
                group.create_task(self._stop(second, pause))
                group.create_task(self._disturb(cluster, session))

    async def _wait_until_served(self, entry: Process) -> None:
        while True:
            call = LateCall("n0", "first", "/again/1/0", 1000, entry.ip)
            await call.send(CALLER_PORT)
            if call.status == 200:
                return
            await asyncio.sleep(INTERVAL_SECONDS)

    async def _make_known(self, *entries: Process) -> None:
        async with asyncio.TaskGroup() as group:
            for entry in entries:
                for kind in KNOWN_COUNT * self._kinds:
                    call = self._make_call(kind, entry.ip)
                    group.create_task(call.send(CALLER_PORT))

    async def _stop(self, entry: Process, pause: float) -> None:
        await asyncio.sleep(pause)
        stop = self.stops[entry.ip] = Stop(time.monotonic())
        entry.signal(signal.SIGTERM)
        while entry.alive:
            await asyncio.sleep(0.02)
            if self._in_series and self._rng.random() < AGAIN_SHARE:
                entry.signal(signal.SIGTERM)
            if time.monotonic() > stop.at + self._grace:
                entry.end()
        stop.ended_at = time.monotonic()
        entry.start()

    async def _disturb(
        self, cluster: Cluster, session: aiohttp.ClientSession
    ) -> None:
        """Change the configuration and hang up the entries, in calm."""
        for version in range(2, CHANGES + 2):
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            body = json.dumps(make_config(version, ROUTE_TIMEOUT_MS))
            url = f"http://{cluster.controls[0]}/chivepier/config"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.put(url, data=body):
                    pass
            entry = self._rng.choice(cluster.entries)
            if entry.handles_signal(signal.SIGHUP):
                entry.signal(signal.SIGHUP)

    async def _send_series(self, kind: Kind, entry: Process) -> None:
        count = round((EARLY_SECONDS + self._grace) / INTERVAL_SECONDS)
        streams: collections.deque = collections.deque()
        if kind.kept:
            for _ in range(count):
                streams.append(
                    await asyncio.open_connection(entry.ip, CALLER_PORT)
                )
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                connection = streams.popleft() if kind.kept else None
                group.create_task(self._call(kind, entry, connection))
                await asyncio.sleep(
                    self._rng.uniform(0.5, 1.5) * INTERVAL_SECONDS
                )

    async def _call(self, kind: Kind, entry: Process, connection) -> None:
        call = self._make_call(kind, entry.ip)
        self.calls.append(call)
        await call.send(CALLER_PORT, connection)
        if call.status == 503:
            again = self._make_call(kind, self._calm)
            self.repeats.append(again)
            await again.send(CALLER_PORT)

    def _make_call(self, kind: Kind, ip: str) -> LateCall:
        self._number += 1
        return LateCall(
            f"n{self._number}",
            str(kind),
            f"/{kind.route}/{kind.work_ms}/{self._number}",
            kind.deadline_ms,
            ip,
            kind.slow_body,
        )

    def describe(self, call: LateCall) -> str:
        """Return the outcome of a request, for reports."""
        if call.refused:
            return "no connection"
        if call.whole:
            return str(call.status)
        where = "head" if call.status else "nothing"
        state = "run" if self._find_span(call) else "not run"
        return f"cut after {where}, {state}"

    def list_lost(self) -> list[str]:
        """Return the requests that were lost by a stop."""
        return [
            self._report(call) for call in self.calls if self._is_lost(call)
        ]

    def list_broken(self) -> list[str]:
        """Return requests that came after a stop order and got no answer.

        A refusal that has not run is one, and so is the end of a connection
        on which nobody read it.
        """
        return [
            self._report(call)
            for call in self.calls
            if call.sent_at > self.stops[call.ip].at + ORDER_SECONDS
            and not self._is_answered(call)
        ]

    def list_untrue(self) -> list[str]:
        """Return refusals that lack a part, or whose request has run."""
        return [
            self._report(call)
            for call in self.calls
            if call.status == 503
            and (not call.is_refusal() or self._find_span(call))
        ]

    def list_unserved(self) -> list[str]:
        """Return requests that no other entry served after a refusal."""
        return [
            self._report(call)
            for call in self.repeats
            if call.status != 200 or not call.whole
        ]

    def _report(self, call: LateCall) -> str:
        stop = self.stops.get(call.ip)
        at = stop.at if stop else 0.0
        return (
            f"{call.kind} {call.identity} sent {call.sent_at - at:+.2f} s,"
            f" ended {call.ended_at - at:+.2f} s: {self.describe(call)}"
        )

    def _is_lost(self, call: LateCall) -> bool:
        if call.whole or call.refused or call.read_at is None:
            return False
        span = self._find_span(call)
        if span is None:
            return call.ended_at > call.read_at + LOSS_SLACK_SECONDS
        stop = self.stops[call.ip]
        last = stop.at + (1 - LAST_SHARE) * self._grace
        worked = span[1] is None or span[1] >= last
        excused = call.sent_at <= stop.at + EXCUSED_SECONDS
        return not (worked and excused)

    def _is_answered(self, call: LateCall) -> bool:
        if call.whole:
            return call.status in (200, 503)
        if call.refused or call.read_at is None:
            return True
        unread = call.ended_at <= call.read_at + LOSS_SLACK_SECONDS
        return unread and self._find_span(call) is None

    def _find_span(self, call: LateCall) -> list[float | None] | None:
        """Return the last work on a request; a stream may go on elsewhere."""
        spans = [
            target.spans[call.identity]
            for target in self._cluster.targets
            if call.identity in target.spans
        ]
        return max(spans, default=None, key=lambda span: span[0])
