"""Callers whose answers never end, beside sound ones."""

import asyncio
import contextlib

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.kindtarget import KIND_HEADER
from soak.kindtarget import KindTarget
from soak.pressscenario import PressScenario

# Memory of the smallest entries in use.
MEMORY_MB = 136
# Time for which nothing but its own end ends an answer that goes on.
ENDLESS_MS = 60_000
PAUSE_SECONDS = 0.05


class EndlessScenario(PressScenario):
    """Runs one small entry and one target, which serves both.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param callers: number of sound callers
    """

    def __init__(self, folder, block: int, seed: int, callers: int):
        super().__init__(folder, block, seed, 1, 1, callers, KindTarget)
        (self.entry,) = self.entries
        self.entry.memory_mb = MEMORY_MB

    @property
    def route_timeout_ms(self) -> int:
        """Longest time that a request may be kept waiting."""
        return ENDLESS_MS

    @contextlib.asynccontextmanager
    async def flood(self, kind: str, path: str, callers: int):
        """Have callers answered without end until the context is left.

        :param kind: what goes on
        :param path: path of their requests
        :param callers: how many there are
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = [
                asyncio.create_task(self._ask(session, kind, path, number))
                for number in range(callers)
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(
        self, session: aiohttp.ClientSession, kind: str, path: str, number: int
    ) -> None:
        attempt = 0
        url = f"http://{self.entry.ip}:8740{path}"
        while True:
            attempt += 1
            identity = f"e{number}-{attempt}"
            headers = make_caller_headers(identity, ENDLESS_MS)
            headers[KIND_HEADER] = kind
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.post(url, headers=headers) as answer:
                    await answer.read()
            await asyncio.sleep(PAUSE_SECONDS)
