"""Entries that lose links to targets while callers keep their address."""

import asyncio
import collections
import contextlib
import pathlib
import time

import aiohttp
import attrs

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.reply import Reply
from soak.run import make_config
from soak.target import SoakTarget
from soak.targetlink import Cut
from soak.targetlink import heal_all
from soak.targetlink import link_entries

TARGETS = 3
# Callers of each entry, who keep to it, and seconds between two requests of
# one.
CALLERS = 2
PAUSE_SECONDS = 0.1
KINDS = ("once", "again", "stream", "resume")


@attrs.frozen
class FirstTries:
    """Counts of first tries at some entries.

    :param sent: number of requests
    :param served: those that were answered whole within their deadline
    """

    sent: int
    served: int

    @property
    def failed(self) -> int:
        """Number of requests that were not served."""
        return self.sent - self.served

    @property
    def share(self) -> float:
        """Share of the requests that were served."""
        return self.served / self.sent if self.sent else 1.0


class CutScenario(Cluster):
    """Runs entries with a link of their own to each target, and callers.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :ivar replies: what callers of each entry saw, with the time of sending
    """

    def __init__(
        self, folder: pathlib.Path, block: int, seed: int, entries: int
    ):
        self.checker = InvariantChecker()
        super().__init__(
            folder, block, seed, entries, TARGETS, self._make_target
        )
        self.replies: dict[str, list[tuple[float, Reply]]] = (
            collections.defaultdict(list)
        )
        addresses = [target.address for target in self.targets]
        self.links = link_entries(self.entries, addresses, self.rng)
        self._number = 0

    def _make_target(self, address: str, controls, rng) -> SoakTarget:
        return SoakTarget(address, address, controls, self.checker, rng)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster with callers until the context is left."""
        async with contextlib.AsyncExitStack() as stack:
            for links in self.links.values():
                for link in links:
                    await stack.enter_async_context(link)
            session = await stack.enter_async_context(
                self.start(make_config(1))
            )
            for entry in self.entries:
                while (await self._send(session, entry, "once")).status != 200:
                    await asyncio.sleep(0.1)
            self.replies.clear()
            tasks = [
                asyncio.create_task(self._call(session, entry))
                for entry in self.entries
                for _ in range(CALLERS)
            ]
            try:
                yield session
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def cut(self, shape: Cut, entries: list[Process]):
        """Cut all links of some entries until the context is left."""
        links = [link for entry in entries for link in self.links[entry.ip]]
        for link in links:
            link.cut(shape)
        try:
            yield
        finally:
            await heal_all(links)

    async def _call(
        self, session: aiohttp.ClientSession, entry: Process
    ) -> None:
        while True:
            began = time.monotonic()
            reply = await self._send(session, entry, self.rng.choice(KINDS))
            self.replies[entry.ip].append((began, reply))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send(
        self, session: aiohttp.ClientSession, entry: Process, kind: str
    ) -> Reply:
        self._number += 1
        headers = make_caller_headers(f"n{self._number}", 2000)
        path = f"/{kind}/{self._number}"
        return await self.post(session, entry, path, b"x", headers)

    def count(
        self, entries: list[Process], since: float, until: float
    ) -> FirstTries:
        """Count the first tries at some entries.

        :param entries: the entries that callers asked
        :param since: monotonic time from which requests were sent
        :param until: monotonic time until which they were sent
        """
        seen = [
            reply
            for entry in entries
            for began, reply in self.replies[entry.ip]
            if since <= began < until
        ]
        served = sum(reply.status == 200 for reply in seen)
        return FirstTries(len(seen), served)
