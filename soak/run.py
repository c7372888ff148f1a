"""One seed of the soak."""

import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import signal
import time

import aiohttp

from soak.process import Process
from soak.promises import Promises
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.proxy import Proxy
from soak.proxy import SLOW
from soak.target import describe
from soak.target import SoakTarget

VOTERS, ENTRIES, TARGETS = 3, 3, 3
# Seconds after an acknowledgement from which no read may be older.
APPLY_SECONDS = 2.0
# Seconds after the last fault within which callers must be served again.
RECOVER_SECONDS = 20.0
CALLERS = 6
# Seconds without a fault before a planned stop that must cut nothing off: what
# an earlier fault held up has reached its route's timeout by then.
QUIET_SECONDS = 3.5


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
    services = [{"name": "s", "max-conns": 100}]
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
    """

    def __init__(self, seed: int, folder: pathlib.Path, block: int):
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
        self.folder = folder
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.number = 0
        self.planned: Process | None = None
        self.faults: list[str] = []

    async def run(self, seconds: float) -> Promises:
        """Play the seed.

        :param seconds: for which faults are injected
        :returns: what was seen
        """
        async with contextlib.AsyncExitStack() as stack:
            timeout = aiohttp.ClientTimeout(total=6.0)
            session = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=timeout)
            )
            for process in (*self.voters, *self.entries):
                stack.callback(process.end)
                process.start(found=process.role == "voter")
            for part in (*self.targets, *self.proxies):
                await stack.enter_async_context(part)
            await self.change(session, 30.0)
            works = [self.call(session, n) for n in range(CALLERS)]
            works += [self.operate(session), self.read(session)]
            tasks = [asyncio.create_task(work) for work in works]
            try:
                await self.inject(seconds)
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

    async def inject(self, seconds: float) -> None:
        """Inject faults, in series and overlapping."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.rng.choice(
                (
                    self.kill,
                    self.freeze,
                    self.stop,
                    self.stop_entry,
                    self.spoil,
                    self.harm_links,
                    self.kill_all,
                    self.wipe,
                    self.hang_up,
                )
            )
            self.faults.append(fault.__name__)
            await fault()
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def kill(self) -> None:
        """Kill a process; it comes back soon."""
        process = self.rng.choice((*self.voters, *self.entries))
        process.end()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        process.start()

    async def freeze(self) -> None:
        """Let a process stand still."""
        process = self.rng.choice((*self.voters, *self.entries))
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        process.signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Ask a process to end; its connections stay until it is gone."""
        process = self.rng.choice((*self.voters, *self.entries))
        process.signal(signal.SIGTERM)
        while process.alive:
            await asyncio.sleep(0.05)
        process.start()

    async def stop_entry(self) -> None:
        """Stop an entry while nothing else goes wrong; it cuts nothing."""
        await asyncio.sleep(QUIET_SECONDS)
        entry = self.rng.choice(self.entries)
        self.planned = entry
        entry.signal(signal.SIGTERM)
        while entry.alive:
            await asyncio.sleep(0.05)
        # what it was asked just before its end comes to the callers' notice
        await asyncio.sleep(0.2)
        self.planned = None
        entry.start()

    async def hang_up(self) -> None:
        """Tell a process that its settings have changed."""
        process = self.rng.choice((*self.voters, *self.entries))
        process.signal(signal.SIGHUP)

    async def spoil(self) -> None:
        """Let a target misbehave for a moment."""
        target = self.rng.choice(self.targets)
        target.mood = self.rng.choice(("reset", "silent", "shed"))
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        target.mood = ""

    async def harm_links(self) -> None:
        """Delay, reset or silence the connections to one target."""
        proxy = self.rng.choice(self.proxies)
        mood = self.rng.choice((SLOW, LOST_SENT, LOST_ANSWERS, "reset"))
        self.faults[-1] += f":{mood}"
        if mood == "reset":
            proxy.reset()
            return
        proxy.mood = mood
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        proxy.mood = ""

    async def kill_all(self) -> None:
        """Kill all processes at once; their disks stay."""
        for process in (*self.voters, *self.entries):
            process.end()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        for process in (*self.voters, *self.entries):
            process.start()

    async def wipe(self) -> None:
        """Lose one disk, and wait until the loss is made good."""
        voter = self.rng.choice(self.voters)
        voter.end()
        shutil.rmtree(self.folder / f"data-{voter.name}", ignore_errors=True)
        voter.start()
        # one disk may be lost at a time; the next one only after this one
        # has its vote and its data again
        await asyncio.sleep(6.0)

    async def recover(self) -> None:
        """Undo every fault, and wait until callers are served again."""
        for process in (*self.voters, *self.entries):
            process.signal(signal.SIGCONT)
            process.start()
        for part in (*self.targets, *self.proxies):
            part.mood = ""
        wanted = self.promises.answered + 30
        end = time.monotonic() + RECOVER_SECONDS
        while self.promises.answered < wanted:
            if time.monotonic() > end:
                text = f"not served after the faults; {describe(self.targets)}"
                self.promises.broken.append(text)
                return
            await asyncio.sleep(0.1)

    async def check_end(self, session) -> None:
        """Read back the newest acknowledged configuration."""
        await asyncio.sleep(APPLY_SECONDS)
        end = time.monotonic() + RECOVER_SECONDS
        while await self.read_once(session) is None:
            if time.monotonic() > end:
                self.promises.broken.append("no configuration can be read")
                return
            await asyncio.sleep(0.1)
