"""Clients outside the limits at one entry or voter, beside one caller."""

import asyncio
import collections.abc
import contextlib
import itertools
import pathlib
import random

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.crowdclient import send_once
from soak.crowdclient import send_shape
from soak.crowds import Shape
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.processmeter import ProcessMeter
from soak.reply import Reply
from soak.run import make_config
from soak.target import SoakTarget

# Limits of the scenario's own settings, lower than those of any deployment.
MEMORY_MB = 72
MAX_DESCRIPTORS = 320
# What the platform keeps of these for files; sockets share the others.
RESERVED_DESCRIPTORS = 200
MAX_SOCKETS = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
LIMITS = {
    "max-header-bytes": 16 << 10,
    "max-body-bytes": 256 << 10,
    "header-timeout-ms": 1000,
    "idle-timeout-ms": 2000,
}
CLIENTS = 120
# Seconds for which a crowd presses, and between two measurements.
PRESS_SECONDS = 3.0
MEASURE_SECONDS = 0.05
DEADLINE_MS = 10_000
ATTEMPTS = 5
RETRY_SECONDS = 0.1


class CrowdScenario(Cluster):
    """Runs three voters, one entry and one target, one of them in a crowd.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    """

    clients = CLIENTS
    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    limits = LIMITS

    def __init__(self, folder: pathlib.Path, block: int, seed: int = 1):
        super().__init__(folder, block, seed, 1, 1, self._make_target)
        (self.entry,) = self.entries
        self._number = 0
        for process in (self.entry, *self.voters):
            process.memory_mb = self.memory_mb
            process.max_descriptors = self.max_descriptors

    def _make_target(
        self, address: str, controls: list[str], rng: random.Random
    ) -> SoakTarget:
        return SoakTarget(address, address, controls, InvariantChecker(), rng)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster until the context is left."""
        config = make_config(1) | {"limits": self.limits}
        async with self.start(config) as session:
            while (await self.call(session)).status != 200:
                await asyncio.sleep(0.1)
            yield session

    async def call(
        self, session: aiohttp.ClientSession, body: bytes = b"x"
    ) -> Reply:
        """Send an ordinary request, again as pages and answers tell callers.

        One that may be repeated is, after any failure.
        """
        for _ in range(ATTEMPTS):
            self._number += 1
            headers = make_caller_headers(f"n{self._number}", DEADLINE_MS)
            reply = await self.post(
                session, self.entry, "/again/1", body, headers
            )
            if reply.status not in (0, 429, 503):
                break
            await asyncio.sleep(reply.retry_after or RETRY_SECONDS)
        return reply

    async def revive(self, session: aiohttp.ClientSession) -> None:
        """Start what has ended, and wait until requests are served."""
        for process in (self.entry, *self.voters):
            process.start()
        while (await self.call(session)).status != 200:
            await asyncio.sleep(RETRY_SECONDS)

    async def ask_voter(
        self, session: aiohttp.ClientSession, voter: Process
    ) -> int:
        """Ask a voter for entries; return the status of its answer."""
        url = f"http://{voter.ip}:8746/chivepier/resolve?name=h&zone=z"
        try:
            async with session.get(url) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def press(
        self, process: Process, port: int, shape: Shape
    ) -> ProcessMeter:
        """Let a crowd press a port, and measure the process meanwhile.

        :returns: the most that the process took
        """
        async with self.gather_crowd(process, port, (shape,)) as meter:
            await asyncio.sleep(PRESS_SECONDS)
        return meter

    @contextlib.asynccontextmanager
    async def gather_crowd(
        self,
        process: Process,
        port: int,
        shapes: collections.abc.Sequence[Shape],
    ) -> collections.abc.AsyncIterator[ProcessMeter]:
        """Let a crowd press a port until the context is left.

        :param shapes: what its clients send, each with as many of them
        :returns: measures the process meanwhile
        """
        meter = ProcessMeter(process.pid)
        meter.forget_peak()
        tasks = [
            asyncio.create_task(send_shape(process.ip, port, shape))
            for shape, _ in zip(itertools.cycle(shapes), range(self.clients))
        ]
        tasks.append(asyncio.create_task(_keep_measuring(process, meter)))
        try:
            yield meter
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def hold(self, process: Process, port: int, shape: Shape) -> None:
        """Let a crowd stand until the process has closed all its connections.

        Clients come once and do not come back.
        """
        async with asyncio.TaskGroup() as group:
            for _ in range(self.clients):
                group.create_task(send_once(process.ip, port, shape))


async def _keep_measuring(process: Process, meter: ProcessMeter) -> None:
    while process.alive:
        meter.measure()
        await asyncio.sleep(MEASURE_SECONDS)
