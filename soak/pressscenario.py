"""Callers that press with requests that may run once."""

import asyncio
import collections.abc
import contextlib
import itertools
import pathlib
import random

import aiohttp
import attrs

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.habits import Habits
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.reply import Reply
from soak.run import make_config
from soak.target import SoakTarget
from soak.targetlink import link_entries
from soak.targetlink import TargetLink

# Timeout of routes, unless callers wait longer.
ROUTE_TIMEOUT_MS = 3000
# Time for which callers wait beyond their deadline.
EXTRA_SECONDS = 4.0

# Range of the seconds after which callers leave that give up.
GIVE_UP_SECONDS = (0.001, 0.1)

MakeCheckedTarget = collections.abc.Callable[
    [str, str, list[str], InvariantChecker, random.Random], SoakTarget
]


class PressScenario(Cluster):
    """Runs entries, voters, targets, and callers that press.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param targets: number of targets
    :param callers: number of callers, each with one request at a time
    :param make_target: creates a target from the address that it listens on,
        the one that it announces, the addresses of the voters, the checker
        and the random number generator
    :ivar repeatable_share: share of the requests that may run again
    :ivar deadline_ms: time that callers wait for an answer
    :ivar callers: number of callers that press
    :ivar version: version of the configuration
    :ivar links: links to the targets, by the address of the entry
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int,
        targets: int,
        callers: int,
        make_target: MakeCheckedTarget,
    ):
        self.checker = InvariantChecker()
        self.repeatable_share = 0.0
        self.deadline_ms = 2000
        self.replies: list[Reply] = []
        self.callers = callers
        self.version = 1
        self.links: dict[str, list[TargetLink]] = {}
        self._habits = Habits()
        self._number = 0

        def make(address: str, controls, rng) -> SoakTarget:
            return make_target(address, address, controls, self.checker, rng)

        super().__init__(folder, block, seed, entries, targets, make)

    @property
    def route_timeout_ms(self) -> int:
        """Longest time that a request may be kept waiting."""
        return max(self.deadline_ms, ROUTE_TIMEOUT_MS)

    def link_entries(self) -> None:
        """Give each entry a link of its own to each target."""
        addresses = [target.address for target in self.targets]
        self.links = link_entries(self.entries, addresses, self.rng)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster until the context is left."""
        async with contextlib.AsyncExitStack() as stack:
            for link in itertools.chain(*self.links.values()):
                await stack.enter_async_context(link)
            config = make_config(self.version, self.route_timeout_ms)
            session = await stack.enter_async_context(self.start(config))
            await self.wait_until_served(session)
            yield session

    async def wait_until_served(self, session: aiohttp.ClientSession) -> None:
        """Wait until each entry has served a request."""
        for entry in self.entries:
            while (await self._send(session, entry)).status != 200:
                await asyncio.sleep(0.1)

    @contextlib.asynccontextmanager
    async def press(
        self, session: aiohttp.ClientSession, callers: int | None = None
    ):
        """Let callers press until the context is left.

        :param callers: how many, if not all
        """
        ended = asyncio.Event()
        tasks = [
            asyncio.create_task(self._call(session, ended))
            for _ in range(callers or self.callers)
        ]
        try:
            yield
        finally:
            # the HTTP library drops a cancellation that meets a timeout
            ended.set()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def hold_habits(
        self, **changes
    ) -> collections.abc.AsyncIterator[None]:
        """Let callers have other habits until the context is left."""
        before = {name: getattr(self._habits, name) for name in changes}
        self._habits = attrs.evolve(self._habits, **changes)
        try:
            yield
        finally:
            self._habits = attrs.evolve(self._habits, **before)

    def count_replies(self, status: int) -> int:
        """Return the number of answers with some status."""
        return sum(reply.status == status for reply in self.replies)

    async def _call(
        self, session: aiohttp.ClientSession, ended: asyncio.Event
    ) -> None:
        while not ended.is_set():
            habits = self._habits
            entry = habits.entry or self.rng.choice(self.entries)
            leaves = self.rng.random() < habits.give_up_share
            timeout = self.rng.uniform(*GIVE_UP_SECONDS) if leaves else None
            reply = await self._send(session, entry, timeout)
            self.replies.append(reply)
            # they come back when they are told to
            rest = None if habits.repeats_at_once else reply.retry_after
            await asyncio.sleep(rest or 0.01)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        entry: Process,
        timeout: float | None = None,
    ) -> Reply:
        self._number += 1
        identity = f"n{self._number}"
        headers = make_caller_headers(identity, self.deadline_ms)
        repeatable = self.rng.random() < self.repeatable_share
        path = f"/{'again' if repeatable else 'once'}/{self._number}"
        if timeout is None:
            timeout = self.deadline_ms / 1000 + EXTRA_SECONDS
        reply = await self.post(session, entry, path, b"x", headers, timeout)
        if reply.status:
            self.checker.record_answer(identity, reply.status, reply.body)
        return reply
