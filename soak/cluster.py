"""Real entries and voters, with targets that a scenario provides."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import random
import time

import aiohttp

from soak.process import Process
from soak.process import run_all
from soak.process import SESSION_SECONDS
from soak.reply import Reply
from soak.runlog import RunLog
from soak.target import SoakTarget

VOTERS = 3
# Port at which entries accept callers; see the settings of the processes.
CALLER_PORT = 8740
REQUEST_ID = "X-Chivepier-Request-Id"
MakeTarget = collections.abc.Callable[
    [str, list[str], random.Random], SoakTarget
]


class Cluster:
    """Runs three voters, some entries, and targets.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param targets: number of targets
    :param make_target: creates a target from its address, the addresses of
        the voters and the random number generator
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int,
        targets: int,
        make_target: MakeTarget,
    ):
        base = f"127.{block}"
        self.rng = random.Random(seed)
        self.folder = folder
        self.log: RunLog | None = None
        self.controls = [f"{base}.1.{n + 1}:8748" for n in range(VOTERS)]
        self.voters = [
            Process("voter", address.split(":")[0], self.controls, folder)
            for address in self.controls
        ]
        self.entries = [
            Process("entry", f"{base}.2.{n + 1}", self.controls, folder)
            for n in range(entries)
        ]
        self.targets = [
            make_target(f"{base}.3.{n + 1}:8080", self.controls, self.rng)
            for n in range(targets)
        ]

    @contextlib.asynccontextmanager
    async def start(
        self, config: dict
    ) -> collections.abc.AsyncIterator[aiohttp.ClientSession]:
        """Run all processes and targets until the context is left.

        :param config: the configuration to apply
        """
        async with contextlib.AsyncExitStack() as stack:
            self.log = await stack.enter_async_context(RunLog(self.folder))
            session = await stack.enter_async_context(
                run_all((*self.voters, *self.entries))
            )
            for target in self.targets:
                target.log = self.log
                await stack.enter_async_context(target)
            await self._configure(session, config)
            yield session

    async def _configure(
        self, session: aiohttp.ClientSession, config: dict
    ) -> None:
        body = json.dumps(config)
        while True:
            url = f"http://{self.controls[0]}/chivepier/config"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.put(url, data=body) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.1)

    async def post(
        self,
        session: aiohttp.ClientSession,
        entry: Process,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_seconds: float = SESSION_SECONDS,
    ) -> Reply:
        """Send one request to an entry and log its outcome.

        :param headers: headers of the request, with its id
        :param timeout_seconds: time after which the caller leaves
        """
        began, status, retry_after, reason = time.monotonic(), 0, None, ""
        data = b""
        url = f"http://{entry.ip}:{CALLER_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with session.post(
                url, data=body, headers=headers, timeout=timeout
            ) as answer:
                data = await answer.read()
                status = answer.status
                retry_after = answer.headers.get("Retry-After")
                if status != 200:
                    reason = data.decode(errors="replace")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = repr(error)
        now = time.monotonic()
        seconds = None if retry_after is None else float(retry_after)
        reply = Reply(now, status, now - began, seconds, reason, data)
        self.log.write_reply(headers[REQUEST_ID], entry.ip, reply)
        return reply
