"""Continuous traffic to targets that may announce rate limits."""

import asyncio
import contextlib
import pathlib

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.reply import Reply
from soak.run import make_config
from soak.signalchecker import make_sender_headers
from soak.target import SoakTarget

TARGETS = 4
CALLERS = 8
# Length of the window in which requests at a target are counted, in seconds.
WINDOW_SECONDS = 4.0
# Seconds between two requests of a caller.
PAUSE_SECONDS = 0.1


class TrafficScenario(Cluster):
    """Runs entries, voters, callers and targets with rate limits.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param callers: number of concurrent callers
    :param pause: seconds between two requests of a caller
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int,
        callers: int = CALLERS,
        pause: float = PAUSE_SECONDS,
    ):
        self._callers = callers
        self._pause = pause
        self.replies: list[Reply] = []
        self.counted_from = 0.0
        self._number = 0
        super().__init__(
            folder, block, seed, entries, TARGETS, self._make_target
        )

    def _make_target(self, address: str, controls, rng) -> SoakTarget:
        return SoakTarget(address, address, controls, InvariantChecker(), rng)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster with callers until the context is left."""
        async with self.start(make_config(1)) as session:
            for entry in self.entries:
                while (await self.send_request(session, entry)).status != 200:
                    await asyncio.sleep(0.1)
            tasks = [
                asyncio.create_task(self._call(session))
                for _ in range(self._callers)
            ]
            try:
                yield session
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        while True:
            entry = self.rng.choice(self.entries)
            self.replies.append(await self.send_request(session, entry))
            await asyncio.sleep(self._pause)

    async def send_request(
        self, session: aiohttp.ClientSession, entry: Process
    ) -> Reply:
        """Send one non-idempotent request."""
        self._number += 1
        headers = make_caller_headers(f"n{self._number}", 2000)
        headers |= make_sender_headers(entry.ip)
        path = f"/once/{self._number}"
        return await self.post(session, entry, path, b"x", headers)


def count_busiest(arrivals: list[float], since: float) -> int:
    """Return the number of requests in the busiest window.

    :param arrivals: times of requests at a target, in monotonic seconds
    :param since: time from which requests count, in monotonic seconds
    """
    later = sorted(at for at in arrivals if at >= since)
    return max(
        (
            sum(first <= at < first + WINDOW_SECONDS for at in later)
            for first in later
        ),
        default=0,
    )
