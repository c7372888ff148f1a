"""Targets that crash on one part of a prompt, which many requests share."""

import asyncio
import contextlib
import pathlib
import time

import aiohttp
from aiohttp import web
import attrs

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.crashscenario import RESTART_SECONDS
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.run import make_config
from soak.target import SoakTarget

CRASHING_PART = "badbadbad0"
# Parts that sound requests have, too: the first one is in all of them.
FIRST_PART = "f00d"
SUBJECT_PARTS = ("5b1", "5b2", "5b3")
# Crashes from which on requests with the part count, and the seconds after
# the last of these within which all entries must hold it back.
COUNTED_CRASHES = 5
PROPAGATION_SECONDS = 3.0
# Time that a target takes to read a prompt, and from the head of its answer
# to its crash, in seconds.
READING_SECONDS = 0.05
ENDING_SECONDS = 0.05


@attrs.define
class PartRecord:
    """What targets and callers saw, in monotonic seconds.

    :param crashes: times at which targets crashed
    :param arrivals: times at which requests with the part reached a target
    :param answers: statuses of the answers to requests with the part
    :param sound: time and status of the answer to each other request
    :param disturbed: time at which the last faulty process was running again
    :param serving: time at which all entries accepted connections again
    """

    crashes: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    answers: list[int] = attrs.field(factory=list)
    sound: list[tuple[float, int]] = attrs.field(factory=list)
    disturbed: float = 0.0
    serving: float = 0.0

    @property
    def known_at(self) -> float:
        """Time from which no entry may send the part; infinite before."""
        if len(self.crashes) < COUNTED_CRASHES:
            return float("inf")
        crashed_at = self.crashes[COUNTED_CRASHES - 1]
        return max(crashed_at, self.disturbed) + PROPAGATION_SECONDS

    @property
    def late_arrivals(self) -> list[float]:
        """Seconds from that time to each later arrival at a target."""
        return [
            at - self.known_at for at in self.arrivals if at > self.known_at
        ]

    def count_sound(self, since: float) -> tuple[int, int]:
        """Return how many sound requests were answered whole, and how many.

        :param since: time from which on answers count
        """
        statuses = [status for at, status in self.sound if at >= since]
        return statuses.count(200), len(statuses)


class PartCrashingTarget(SoakTarget):
    """Crashes as it begins to answer a prompt with a certain part."""

    record: PartRecord
    _restart: asyncio.Task | None = None

    async def __aexit__(self, *exc) -> None:
        if self._restart is not None:
            self._restart.cancel()
        await super().__aexit__(*exc)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        parts = request.headers["X-Chivepier-Prefix-Hash"]
        if CRASHING_PART not in parts:
            await asyncio.sleep(READING_SECONDS)
            return await super()._serve(request)
        await request.read()
        self.record.arrivals.append(time.monotonic())
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=echo)
        await asyncio.sleep(READING_SECONDS)
        response = web.StreamResponse(headers=echo)
        await response.prepare(request)
        await asyncio.sleep(ENDING_SECONDS)
        if not self._listener.is_serving():
            raise asyncio.CancelledError
        self.record.crashes.append(time.monotonic())
        self.crash()
        self._restart = asyncio.create_task(self._restart_later())
        raise asyncio.CancelledError

    async def _restart_later(self) -> None:
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        await self.start_anew()


class PartScenario(Cluster):
    """Runs entries, voters, targets that crash on a part, and callers.

    No two requests are alike: each has its own path, body and last part.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param targets: number of targets
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int = 3,
        targets: int = 5,
    ):
        self.record = PartRecord()
        self._number = 0
        super().__init__(
            folder, block, seed, entries, targets, self._make_target
        )

    def _make_target(self, address: str, controls, rng) -> PartCrashingTarget:
        target = PartCrashingTarget(
            address, address, controls, InvariantChecker(), rng
        )
        target.record = self.record
        return target

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster until the context is left."""
        async with self.start(make_config(1)) as session:
            while await self.send_sound(session, self.entries[0]) != 200:
                await asyncio.sleep(0.1)
            yield session

    async def send_sound(
        self, session: aiohttp.ClientSession, entry: Process
    ) -> int:
        """Send a request without the part, and return its status."""
        status = await self._send(session, entry, [FIRST_PART])
        self.record.sound.append((time.monotonic(), status))
        return status

    async def send_crashing(
        self, session: aiohttp.ClientSession, entry: Process
    ) -> int:
        """Send a request with the part, and return its status."""
        parts = [FIRST_PART, CRASHING_PART]
        status = await self._send(session, entry, parts)
        self.record.answers.append(status)
        return status

    async def _send(
        self, session: aiohttp.ClientSession, entry: Process, parts: list[str]
    ) -> int:
        self._number += 1
        subject = self.rng.choice(SUBJECT_PARTS)
        own = f"{self._number:08x}"
        names = [*parts, subject, own]
        headers = make_caller_headers(f"r{self._number}", 4000)
        hashes = ",".join(f"{name}:100" for name in names)
        headers["X-Chivepier-Prefix-Hash"] = hashes
        path = f"/resume/{self._number}"
        reply = await self.post(session, entry, path, own.encode(), headers)
        return reply.status

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Send sound requests, one after the other, until cancelled."""
        while True:
            await self.send_sound(session, self.rng.choice(self.entries))
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))

    async def call_crashing(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        """Send requests with the part, some at the same time.

        :param seconds: time for which to send
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            count = min(2, len(self.entries))
            chosen = self.rng.sample(self.entries, count)
            asks = [self.send_crashing(session, entry) for entry in chosen]
            await asyncio.gather(*asks)
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
