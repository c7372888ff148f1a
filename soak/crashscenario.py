"""Targets that crash when they run a certain request, which is repeated."""

import asyncio
import contextlib
import pathlib
import time

import aiohttp
from aiohttp import web
import attrs

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.run import make_config
from soak.target import SoakTarget

CRASHING_BODY = b"what no target survives"
CRASHING_PATH = "/resume/deadly"
# Seconds after the third crash within which all entries must know of it.
PROPAGATION_SECONDS = 3.0
# Range of the seconds until a crashed target is restarted.
RESTART_SECONDS = (0.8, 2.0)


@attrs.define
class CrashRecord:
    """Records crashes, arrivals and answers, in monotonic seconds.

    :param crashes: times at which targets crashed
    :param arrivals: times at which the crashing request reached a target
    :param answers: statuses of the answers to the crashing request
    :param other_answers: statuses of the answers to other requests
    :param disturbed: time at which the last faulty process was running again
    :param serving: time at which all entries accepted connections again
    """

    crashes: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    answers: list[int] = attrs.field(factory=list)
    other_answers: list[int] = attrs.field(factory=list)
    disturbed: float = 0.0
    serving: float = 0.0

    @property
    def propagated_at(self) -> float:
        """Time by which every entry must know; infinite before 3 crashes."""
        if len(self.crashes) < 3:
            return float("inf")
        return max(self.crashes[2], self.disturbed) + PROPAGATION_SECONDS

    @property
    def late_arrivals(self) -> list[float]:
        """Seconds from that time to each later arrival at a target."""
        propagated_at = self.propagated_at
        return [
            at - propagated_at for at in self.arrivals if at > propagated_at
        ]


class CrashingTarget(SoakTarget):
    """Crashes when it starts to run the crashing request."""

    record: CrashRecord
    _restart: asyncio.Task | None = None

    async def __aexit__(self, *exc) -> None:
        if self._restart is not None:
            self._restart.cancel()
        await super().__aexit__(*exc)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if await request.read() != CRASHING_BODY:
            return await super()._serve(request)
        self.record.arrivals.append(time.monotonic())
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=echo)
        response = web.StreamResponse(headers=echo)
        await response.prepare(request)
        await asyncio.sleep(0.02)
        self.record.crashes.append(time.monotonic())
        self.crash()
        self._restart = asyncio.create_task(self._restart_later())
        raise asyncio.CancelledError

    async def _restart_later(self) -> None:
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        await self.start_anew()


class CrashScenario(Cluster):
    """Runs entries, voters, crashing targets and both kinds of callers.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    """

    def __init__(
        self, folder: pathlib.Path, block: int, seed: int, entries: int = 3
    ):
        self.record = CrashRecord()
        self._number = 0
        super().__init__(folder, block, seed, entries, 4, self._make_target)

    def _make_target(self, address: str, controls, rng) -> CrashingTarget:
        target = CrashingTarget(
            address, address, controls, InvariantChecker(), rng
        )
        target.record = self.record
        return target

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster until the context is left."""
        async with self.start(make_config(1)) as session:
            while (
                await self.send_request(session, self.entries[0], "sound")
                != 200
            ):
                await asyncio.sleep(0.1)
            yield session

    async def send_request(
        self, session: aiohttp.ClientSession, entry: Process, kind: str
    ) -> int:
        """Send one request.

        :param kind: ``deadly`` for the crashing request, else ``sound``
        :returns: status of the answer; 0 if the connection failed
        """
        self._number += 1
        is_crashing = kind == "deadly"
        path = CRASHING_PATH if is_crashing else f"/resume/{self._number}"
        headers = make_caller_headers(f"{kind}{self._number}", 4000)
        body = CRASHING_BODY if is_crashing else b"x"
        reply = await self.post(session, entry, path, body, headers)
        (
            self.record.answers if is_crashing else self.record.other_answers
        ).append(reply.status)
        return reply.status

    async def repeat_crashing_request(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        """Send the crashing request repeatedly to several entries.

        :param seconds: time to continue once every entry must know, in seconds
        """
        record = self.record
        while time.monotonic() < (
            max(record.propagated_at, record.serving) + seconds
        ):
            count = min(2, len(self.entries))
            chosen = self.rng.sample(self.entries, count)
            asks = [
                self.send_request(session, entry, "deadly") for entry in chosen
            ]
            await asyncio.gather(*asks)
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Send other requests, one after the other, until cancelled."""
        while True:
            await self.send_request(
                session, self.rng.choice(self.entries), "sound"
            )
            await asyncio.sleep(0.02)
