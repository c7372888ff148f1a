"""Targets that end as they begin to run one request, which comes again."""

import asyncio
import contextlib
import pathlib
import secrets
import shutil
import signal
import time

import aiohttp
from aiohttp import web
import attrs

from soak.cluster import Cluster
from soak.cluster import make_resumable_config
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.target import SoakTarget

CRASHING_BODY = b"what no target survives"
CRASHING_PATH = "/resume/deadly"
# Seconds from the third end on within which entries must know.
PROPAGATION_SECONDS = 3.0
# Seconds until a target that has ended is back.
RESTART_SECONDS = (0.8, 2.0)


@attrs.define
class CrashRecord:
    """What callers and targets saw.

    :param ends: when targets ended
    :param arrivals: when the request that ends them reached one
    :param answers: statuses that its callers got
    :param sound: statuses that all others got
    :param disturbed: when a process was last back from a fault
    """

    crashes: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    answers: list[int] = attrs.field(factory=list)
    other_answers: list[int] = attrs.field(factory=list)
    disturbed: float = 0.0

    @property
    def propagated_at(self) -> float:
        """When every entry must know; never, before the third end."""
        if len(self.crashes) < 3:
            return float("inf")
        return max(self.crashes[2], self.disturbed) + PROPAGATION_SECONDS

    @property
    def late_arrivals(self) -> list[float]:
        """Sends to targets after that, in seconds."""
        propagated_at = self.propagated_at
        return [
            at - propagated_at for at in self.arrivals if at > propagated_at
        ]


class CrashingTarget(SoakTarget):
    """Ends when it begins to run the deadly request."""

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
        # each start has a name of its own, as most engines do
        self.instance = f"i-{secrets.token_hex(4)}"
        await self.__aenter__()


class CrashScenario(Cluster):
    """Real entries and voters, fragile targets, and both kinds of callers.

    :param folder: for settings, data and logs
    :param block: second byte of its loopback addresses
    :param seed: of everything that is drawn
    :param entries: how many
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
        """Run everything until the context is left."""
        async with self.start(make_resumable_config()) as session:
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

        :param kind: ``deadly`` or ``sound``
        :returns: the status; 0 where the connection broke or none was made
        """
        self._number += 1
        is_crashing = kind == "deadly"
        path = CRASHING_PATH if is_crashing else f"/resume/{self._number}"
        headers = {
            "Host": "h.example",
            "X-Chivepier-Request-Id": f"{kind}{self._number}",
            "X-Api-Key": "k1",
            "X-Chivepier-Deadline-Ms": "4000",
        }
        url = f"http://{entry.ip}:8740{path}"
        body = CRASHING_BODY if is_crashing else b"x"
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.post(url, data=body, headers=headers) as answer:
                await answer.read()
                status = answer.status
        (
            self.record.answers if is_crashing else self.record.other_answers
        ).append(status)
        return status

    async def repeat_crashing_request(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        """Send the deadly request again and again, at several entries.

        :param seconds: for which this goes on once every entry must know
        """
        while time.monotonic() < self.record.propagated_at + seconds:
            count = min(2, len(self.entries))
            chosen = self.rng.sample(self.entries, count)
            asks = [
                self.send_request(session, entry, "deadly") for entry in chosen
            ]
            await asyncio.gather(*asks)
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def inject_faults(self) -> None:
        """Once a target has ended, harm processes of both roles.

        One entry stands still while the others learn, one is killed and knows
        nothing when it is back, and one voter loses its disk.
        """
        while not self.record.crashes:
            await asyncio.sleep(0.01)
        frozen, killed, *_ = self.entries
        frozen.signal(signal.SIGSTOP)
        voter = self.voters[0]
        voter.end()
        shutil.rmtree(self.folder / f"data-{voter.name}")
        voter.start()
        killed.end()
        await asyncio.sleep(1.5)
        killed.start()
        frozen.signal(signal.SIGCONT)
        self.record.disturbed = time.monotonic()

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Send sound requests, one after the other, until cancelled."""
        while True:
            await self.send_request(
                session, self.rng.choice(self.entries), "sound"
            )
            await asyncio.sleep(0.02)
