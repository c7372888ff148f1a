"""Connections between voters and entries that go silent beside changes."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import random
import time

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.cluster import Cluster
from soak.configoperator import make_large_config
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.proxy import Proxy
from soak.restlesstarget import RestlessTarget
from soak.servicetarget import ServiceTarget

ENTRIES, TARGETS = 4, 4
# The known route's service changes with each version.
SERVICES = ("s", "t")
KNOWN_PATH = "/once/x"
# Port at which voters accept each other and entries.
PEER_PORT = 7200
# Within this of its acknowledgement, a change is in force.
APPLY_SECONDS = 2.0
# Within this of a disturbance, everybody counts as undisturbed again.
TOUCH_SECONDS = 3.0
# Time for which each new route is asked for, and the pause in between.
ASK_SECONDS, ASK_PAUSE_SECONDS = 2.0, 0.1


class SilentScenario:
    """Runs voters and entries that reach voters by links of their own.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param directions: in which the links go silent; both if there is none
    :ivar outdated: requests that were not served as the version in force says:
        by its service, on known routes and on added ones
    :ivar answered: all requests on such routes
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        directions: tuple[str, ...] = (),
    ):
        checker = InvariantChecker()
        self._rng = random.Random(seed)
        self._cluster = Cluster(
            folder,
            block,
            seed,
            ENTRIES,
            TARGETS,
            lambda address, controls, rng: ServiceTarget(
                address, address, controls, checker, rng
            ),
        )
        self._ran: dict[str, str] = {}
        for number, target in enumerate(self._cluster.targets):
            target.ran = self._ran
            target.service = SERVICES[number % len(SERVICES)]
        self._directions = directions
        self._block = block
        self._links: dict[str, list[Proxy]] = {"voter": [], "entry": []}
        self._number = 0
        self.outdated: list[str] = []
        self.answered = 0

    async def run(self, rounds: int) -> None:
        """Silence all links at each of some acknowledgements.

        :param rounds: how many
        """
        async with contextlib.AsyncExitStack() as stack:
            processes = (*self._cluster.voters, *self._cluster.entries)
            for number, process in enumerate(processes, 100):
                await self._link(stack, process, number)
            session = await stack.enter_async_context(
                self._cluster.start(_make_config(1))
            )
            for number, control in enumerate(self._cluster.controls):
                target = RestlessTarget(f"restless-{number}", control)
                task = asyncio.create_task(target.run(session))
                stack.callback(task.cancel)
            for version in range(2, rounds + 2):
                await self._play_round(session, version)

    async def _link(
        self,
        stack: contextlib.AsyncExitStack,
        process: Process,
        place: int,
    ) -> None:
        host = f"127.{self._block}.{place}"
        for number, voter in enumerate(self._cluster.voters, 1):
            proxy = Proxy(
                f"{host}.{number}:{PEER_PORT}",
                f"{voter.ip}:{PEER_PORT}",
                self._rng,
            )
            await stack.enter_async_context(proxy)
            process.links[f"{voter.ip}:{PEER_PORT}"] = proxy.address
            self._links[process.role].append(proxy)

    async def _play_round(
        self, session: aiohttp.ClientSession, version: int
    ) -> None:
        await asyncio.sleep(self._rng.uniform(1.0, 2.0))
        # an entry would hear of the version before its link goes silent
        self._silence("entry")
        await self._change(session, version)
        self._silence("voter")
        await asyncio.sleep(max(APPLY_SECONDS, TOUCH_SECONDS))
        await asyncio.gather(
            *(
                self._ask(session, entry, version)
                for entry in self._cluster.entries
            )
        )

    def _silence(self, role: str) -> None:
        for proxy in self._links[role]:
            proxy.silence(*self._directions)

    async def _change(
        self, session: aiohttp.ClientSession, version: int
    ) -> None:
        body = json.dumps(_make_config(version))
        for control in self._list_controls():
            url = f"http://{control}/chivepier/config"
            async with session.put(url, data=body) as answer:
                if answer.status == 200:
                    return
            await asyncio.sleep(ASK_PAUSE_SECONDS)

    def _list_controls(self) -> collections.abc.Iterator[str]:
        while True:
            yield self._rng.choice(self._cluster.controls)

    async def _ask(
        self, session: aiohttp.ClientSession, entry: Process, version: int
    ) -> None:
        end = time.monotonic() + ASK_SECONDS
        while time.monotonic() < end:
            for path in (KNOWN_PATH, f"/route-{version}-0/x"):
                await self._ask_once(session, entry, version, path)
            await asyncio.sleep(ASK_PAUSE_SECONDS)

    async def _ask_once(
        self,
        session: aiohttp.ClientSession,
        entry: Process,
        version: int,
        path: str,
    ) -> None:
        self._number += 1
        identity = f"r{self._number}"
        reply = await self._cluster.post(
            session, entry, path, b"x", make_caller_headers(identity, 1000)
        )
        self.answered += 1
        service = self._ran.get(identity)
        if reply.status != 200 or service != _find_service(version):
            text = f"{path} by {version} at {entry.ip}: {identity}"
            self.outdated.append(f"{text}: {reply.status} of {service}")


def _find_service(version: int) -> str:
    return SERVICES[version % len(SERVICES)]


def _make_config(version: int) -> dict:
    """Return a configuration with a route that no other version has."""
    config = make_large_config(version, 1)
    config["services"] = [
        config["services"][0] | {"name": name} for name in SERVICES
    ]
    config["routes"] = [
        route | {"service": _find_service(version)}
        for route in config["routes"]
    ]
    return config
