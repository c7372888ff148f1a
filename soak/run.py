"""One seed of the soak."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import random
import signal
import time

import aiohttp

from soak.faults import Faults
from soak.faults import NEWEST_SET
from soak.process import Process
from soak.process import run_all
from soak.promises import Promises
from soak.proxy import Proxy
from soak.target import describe
from soak.target import SoakTarget
from soak.wishes import name_sender
from soak.zoneorders import ZoneOrders

VOTERS, ENTRIES, TARGETS = 3, 3, 3
# Seconds after an acknowledgement from which no read may be older.
APPLY_SECONDS = 2.0
# Seconds after the last fault within which callers must be served again.
RECOVER_SECONDS = 20.0
CALLERS = 6
# Seconds after which a target that is not heard is no longer used.
SILENT_SECONDS = 5.0
# Requests a second that a cold target bears, far below what it gets warm.
COLD_RATE = 5.0


def make_config(version: int) -> dict:
    """Make a configuration whose route to streams comes and goes."""
    kinds = {"once": "non_idempotent", "again": "idempotent"}
    kinds["stream"] = "streaming"
    routes = [
        {
            "name": name,
            "host": "h.example",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 3000,
            "slo-ms": 300,
            "service": "s",
            "max-attempts": 2 if name == "again" else 1,
        }
        for name, kind in kinds.items()
    ]
    services = [{"name": "s", "max-conns": 100, "cold-per-s": COLD_RATE}]
    teams = [{"name": "t1", "api-keys": ["k1"]}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": teams,
    }


class Soak:
    """Processes, targets, callers and faults of one seed.

    :param seed: of everything that is drawn
    :param folder: for settings, data and logs
    :param block: second byte of its loopback addresses
    :param kinds: the set of faults that are drawn
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        block: int,
        kinds: int = NEWEST_SET,
    ):
        self.rng = random.Random(seed)
        self.promises = Promises()
        base = f"127.{block}"
        voters = [f"{base}.1.{n + 1}" for n in range(VOTERS)]
        self.controls = [f"{ip}:8748" for ip in voters]
        self.voters = [
            Process("voter", ip, self.controls, folder) for ip in voters
        ]
        self.entries = [
            Process("entry", f"{base}.2.{n + 1}", self.controls, folder)
            for n in range(ENTRIES)
        ]
        self.proxies = [
            Proxy(f"{base}.4.{n}:8080", f"{base}.3.{n}:8080", self.rng)
            for n in range(1, TARGETS + 1)
        ]
        self.targets = [
            SoakTarget(
                f"{base}.3.{n}:8080",
                f"{base}.4.{n}:8080",
                self.controls,
                self.promises,
                self.rng,
            )
            for n in range(1, TARGETS + 1)
        ]
        self.zone_orders = ZoneOrders(self.controls, self.rng)
        for number, target in enumerate(self.targets, 1):
            target.zone = f"z{number}"
            target.forbids = self.zone_orders.forbids
            target.wishes.excuses = self.excuses
        self.session: aiohttp.ClientSession | None = None
        self.folder = folder
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.number = 0
        self.planned: Process | None = None
        self._harmed: dict[str, float] = {}
        self.faults = Faults(self, kinds)

    @contextlib.contextmanager
    def harm(
        self, *processes: Process, longer: float = 0.0
    ) -> collections.abc.Iterator[None]:
        """Excuse processes from what targets ask them, while they are harmed.

        :param processes: that don't hear all that they are told
        :param longer: seconds after the harm in which that may still be so
        """
        for process in processes:
            self._harmed[process.ip] = float("inf")
        try:
            yield
        finally:
            for process in processes:
                self._harmed[process.ip] = time.monotonic() + longer

    def excuses(self, entry: str, since: float) -> bool:
        """Tell whether an entry was harmed after a moment."""
        return self._harmed.get(entry, since) > since

    async def run(self, seconds: float) -> Promises:
        """Play the seed.

        :param seconds: for which faults are injected
        :returns: what was seen
        """
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                run_all((*self.voters, *self.entries))
            )
            self.session = session
            for part in (*self.targets, *self.proxies):
                await stack.enter_async_context(part)
            await self.change(session, 30.0)
            works = [self.call(session, n) for n in range(CALLERS)]
            works += [self.operate(session), self.read(session)]
            tasks = [asyncio.create_task(work) for work in works]
            try:
                await self.faults.inject(seconds)
                await self.faults.finish()
                await self.recover()
                await self.check_end(session)
            finally:
                for task in tasks:
                    task.cancel()
                ends = await asyncio.gather(*tasks, return_exceptions=True)
            for end in ends:
                if not isinstance(end, asyncio.CancelledError):
                    self.promises.broken.append(f"the soak failed: {end!r}")
        return self.promises

    async def call(self, session, caller: int) -> None:
        """Send one request after the other."""
        while True:
            self.number += 1
            identity = f"r{caller}-{self.number}"
            kind = self.rng.choice(("once", "once", "again", "stream"))
            entry = self.rng.choice(self.entries)
            try:
                await self.ask(session, entry, kind, identity)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self.promises.note_cut(identity, error, entry is self.planned)
            await asyncio.sleep(0.02)

    async def ask(self, session, entry, kind, identity) -> None:
        """Send one request and note its answer."""
        headers = {
            "Host": "h.example",
            "X-Chivepier-Request-Id": identity,
            "X-Api-Key": "k1",
            "X-Chivepier-Deadline-Ms": "4000",
            **name_sender(entry.ip),
        }
        url = f"http://{entry.ip}:8740/{kind}/{identity}"
        async with session.post(url, data=b"x", headers=headers) as answer:
            if kind != "stream" or answer.status != 200:
                body = await answer.read()
                self.promises.note_answer(identity, answer.status, body)
                return
            data, whole = b"", False
            try:
                async for part in answer.content.iter_any():
                    data += part
                whole = True
            except (aiohttp.ClientError, TimeoutError) as error:
                self.promises.note_cut(identity, error, entry is self.planned)
            self.promises.note_stream(identity, data, whole)

    async def operate(self, session) -> None:
        """Send a new configuration now and then."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            await self.change(session, 10.0)

    async def change(self, session, seconds: float) -> None:
        """Send a configuration until it is acknowledged."""
        self.version += self.rng.randint(1, 5)
        body = json.dumps(make_config(self.version))
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            control = self.rng.choice(self.controls)
            try:
                url = f"http://{control}/chivepier/config"
                limit = aiohttp.ClientTimeout(total=1.5)
                async with session.put(
                    url, data=body, timeout=limit
                ) as answer:
                    if answer.status == 200:
                        moment = time.monotonic()
                        self.acknowledged.append((moment, self.version))
                        self.promises.acknowledged += 1
                        return
                    if answer.status != 503:
                        text = f"version {self.version}: {answer.status}"
                        self.promises.broken.append(text)
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)

    async def read(self, session) -> None:
        """Read the configuration back, at any voter."""
        while True:
            await self.read_once(session)
            await asyncio.sleep(0.2)

    async def read_once(self, session) -> int | None:
        """Read it at one voter and check it against what was promised."""
        sent = time.monotonic()
        floor = max(
            (v for t, v in self.acknowledged if t < sent - APPLY_SECONDS),
            default=0,
        )
        control = self.rng.choice(self.controls)
        url = f"http://{control}/chivepier/config"
        try:
            limit = aiohttp.ClientTimeout(total=1.5)
            async with session.get(url, timeout=limit) as answer:
                if answer.status != 200:
                    return None
                version = json.loads(await answer.read())["version"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        self.promises.note_read(version, floor)
        return version

    async def recover(self) -> None:
        """Undo every fault, and wait until callers are served again."""
        for process in (*self.voters, *self.entries):
            process.signal(signal.SIGCONT)
            process.start()
        for part in (*self.targets, *self.proxies):
            part.mood = ""
        if any(target.restarted for target in self.targets):
            # until then one whose word is not taken is still in use
            await asyncio.sleep(SILENT_SECONDS)
            for target in self.targets:
                target.runs = 0
        wanted = self.promises.answered + 30
        end = time.monotonic() + RECOVER_SECONDS
        while self.promises.answered < wanted or self.find_unused():
            if time.monotonic() > end:
                text = f"not served after the faults; {describe(self.targets)}"
                text += f"; unused: {self.find_unused()}"
                self.promises.broken.append(text)
                return
            await asyncio.sleep(0.1)

    def find_unused(self) -> list[str]:
        """Return the targets that started again and run nothing now."""
        return [t.address for t in self.targets if t.restarted and not t.runs]

    async def check_end(self, session) -> None:
        """Read back the newest acknowledged configuration."""
        await asyncio.sleep(APPLY_SECONDS)
        end = time.monotonic() + RECOVER_SECONDS
        while await self.read_once(session) is None:
            if time.monotonic() > end:
                self.promises.broken.append("no configuration can be read")
                return
            await asyncio.sleep(0.1)
