"""A rush of callers at targets that bear few refusals."""

import asyncio
import contextlib
import pathlib

import aiohttp

from soak.brittletarget import BrittleTarget
from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.reply import Reply
from soak.run import make_config

TARGETS = 4
# Refusals within a second that a target bears.
BEARABLE = 3


class BrittleScenario(Cluster):
    """Runs entries, voters, brittle targets, and callers that press.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param callers: number of callers, each with one request at a time
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int,
        callers: int,
    ):
        self.checker = InvariantChecker()
        self.replies: list[Reply] = []
        self._callers = callers
        self._number = 0
        super().__init__(
            folder, block, seed, entries, TARGETS, self._make_target
        )

    def _make_target(self, address: str, controls, rng) -> BrittleTarget:
        return BrittleTarget(address, address, controls, self.checker, rng)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster until the context is left."""
        async with self.start(make_config(1)) as session:
            for entry in self.entries:
                while (await self._send(session, entry)).status != 200:
                    await asyncio.sleep(0.1)
            yield session

    @contextlib.asynccontextmanager
    async def press(self, session: aiohttp.ClientSession):
        """Let all callers press until the context is left."""
        tasks = [
            asyncio.create_task(self._call(session))
            for _ in range(self._callers)
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        while True:
            entry = self.rng.choice(self.entries)
            reply = await self._send(session, entry)
            self.replies.append(reply)
            # they come back when they are told to
            await asyncio.sleep(reply.retry_after or 0.01)

    async def _send(
        self, session: aiohttp.ClientSession, entry: Process
    ) -> Reply:
        self._number += 1
        headers = {
            "Host": "h.example",
            "X-Chivepier-Request-Id": f"n{self._number}",
            "X-Api-Key": "k1",
            "X-Chivepier-Deadline-Ms": "2000",
        }
        path = f"/once/{self._number}"
        return await self.post(session, entry, path, b"x", headers)
