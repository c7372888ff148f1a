"""One seeded run of the soak test."""

import asyncio
import collections.abc
import contextlib
import itertools
import json
import pathlib
import random
import signal
import time

import aiohttp
import attrs

from soak.callerheaders import make_caller_headers
from soak.evacuationoperator import EvacuationOperator
from soak.faults import CUT_SET
from soak.faults import Faults
from soak.faults import MISREPORT_SET
from soak.faults import NEWEST_SET
from soak.faults import UNHEARD_SET
from soak.faults import UNTITLED_SET
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.process import run_all
from soak.proxy import Proxy
from soak.runlog import RunLog
from soak.senders import Senders
from soak.signalchecker import make_sender_headers
from soak.streamcaller import attempt_stream
from soak.streamrecord import StreamRecord
from soak.target import describe
from soak.target import HEALTH_PATH
from soak.target import SoakTarget
from soak.targetlink import link_entries
from soak.targetlink import PROPAGATION_SECONDS
from soak.targetlink import TargetLink

VOTERS, ENTRIES, TARGETS = 3, 3, 3
# Seconds after an acknowledgement from which reads must not be older.
APPLY_SECONDS = 2.0
# Seconds after the last fault within which callers must be served again.
RECOVERY_SECONDS = 20.0
CALLERS = 6
# Seconds without a heartbeat after which a target is no longer used.
TARGET_TTL_SECONDS = 5.0
# The users' rule: of the first tries, those at entries that are cut off must
# not be served less than this share as often as the others, if more than these
# fail there.
MIN_SHARE = 2 / 3
MAX_FAILED, MAX_FAILED_PER = 10, 50
# Requests per second that a cold target takes, far below its usual load.
COLD_RATE = 5.0


# Kinds of requests that callers draw from.
CALLS = ("once", "once", "again", "stream")
CALLS_WITH_RESUMABLE = (*CALLS, "resume")
# Attempts of a caller at one stream that may be resumed.
MAX_ATTEMPTS = 4
# Runs of a stream that may be resumed, where targets err on rests.
RESUMABLE_RUNS = 4
# Numbers with which the series of events of a run may begin.
FIRST_NUMBERS = (0, 1, 1_000_000)


def make_config(
    version: int, timeout_ms: int = 3000, resumable_runs: int = 2
) -> dict:
    """Return a configuration with a route of each kind.

    :param version: version of the configuration
    :param timeout_ms: longest time that a request may be kept waiting
    :param resumable_runs: how often a stream that may be resumed may run
    """
    kinds = {"once": "non_idempotent", "again": "idempotent"}
    kinds["stream"] = kinds["resume"] = "streaming"
    runs = {"again": 2, "resume": resumable_runs}
    routes = [
        {
            "name": name,
            "host": "h.example",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": timeout_ms,
            "slo-ms": 300,
            "service": "s",
            "max-attempts": runs.get(name, 1),
            "resumable": name == "resume",
        }
        for name, kind in kinds.items()
    ]
    services = [
        {
            "name": "s",
            "max-conns": 100,
            "cold-per-s": COLD_RATE,
            "health-path": HEALTH_PATH,
        }
    ]
    teams = [{"name": "t1", "api-keys": ["k1"]}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": teams,
    }


@attrs.frozen
class FirstTry:
    """One request of a caller.

    :param at: when it was sent, in monotonic seconds
    :param entry: address of the entry that was asked
    :param served: whether it was answered whole
    """

    at: float
    entry: str
    served: bool


class Soak:
    """Runs processes, targets and callers under faults for one seed.

    :param seed: seed of the random number generator
    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param kinds: version of the set of faults to draw from
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        block: int,
        kinds: int = NEWEST_SET,
    ):
        self.rng = random.Random(seed)
        first_number = 1
        if kinds > UNHEARD_SET:
            # of its own, so that a seed draws the same faults as before
            first_number = random.Random(f"{seed}").choice(FIRST_NUMBERS)
        self.checker = InvariantChecker(first_number)
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
                self.checker,
                self.rng,
            )
            for n in range(1, TARGETS + 1)
        ]
        self.senders = Senders()
        for part in (*self.proxies, *self.targets):
            part.senders = self.senders
        self.links: dict[str, list[TargetLink]] = {}
        if kinds > MISREPORT_SET:
            addresses = [proxy.address for proxy in self.proxies]
            self.links = link_entries(self.entries, addresses, self.rng)
            for link in itertools.chain(*self.links.values()):
                link.senders = self.senders
        for target, proxy in zip(self.targets, self.proxies):
            target.proxies = [proxy, *self._find_links(proxy)]
        self.tries: list[FirstTry] = []
        self.evacuations = EvacuationOperator(self.controls, self.rng)
        for number, target in enumerate(self.targets, 1):
            target.first_number = first_number
            target.zone = f"z{number}"
            target.is_evacuated = self.evacuations.is_evacuated
            target.signals.is_excused = self.is_excused
        self.session: aiohttp.ClientSession | None = None
        self.folder = folder
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.number = 0
        self.stopping_entry: Process | None = None
        self._exempt_until: dict[str, float] = {}
        self._calls = CALLS_WITH_RESUMABLE if kinds > CUT_SET else CALLS
        self._resumable_runs = RESUMABLE_RUNS if kinds > UNTITLED_SET else 2
        self.part_crashes = 0
        self.faults = Faults(self, kinds)

    def _find_links(self, proxy: Proxy) -> list[TargetLink]:
        links = itertools.chain(*self.links.values())
        return [link for link in links if link.leads_to(proxy.address)]

    def check_first_tries(self, cut_off: list[Process], began: float) -> None:
        """Check that callers of entries without targets are served.

        :param cut_off: the entries that reach no target
        :param began: when they were cut off, in monotonic seconds
        """
        since = began + PROPAGATION_SECONDS
        names = {entry.ip for entry in cut_off}
        seen = [attempt for attempt in self.tries if attempt.at >= since]
        here = [a.served for a in seen if a.entry in names]
        others = [a.served for a in seen if a.entry not in names]
        failed = here.count(False)
        if failed <= MAX_FAILED + len(seen) / MAX_FAILED_PER or not others:
            return
        share = sum(others) / len(others)
        if sum(here) / len(here) < MIN_SHARE * share:
            text = f"{sum(here)} of {len(here)} first tries served without"
            self.checker.violations.append(
                f"{text} targets, {sum(others)} of {len(others)} elsewhere"
            )

    @contextlib.contextmanager
    def exempt(
        self, *processes: Process, extra_seconds: float = 0.0
    ) -> collections.abc.Iterator[None]:
        """Exempt processes from the checks of targets during a fault.

        :param processes: processes that may miss what targets announce
        :param extra_seconds: seconds after the fault in which they stay exempt
        """
        for process in processes:
            self._exempt_until[process.ip] = float("inf")
        try:
            yield
        finally:
            for process in processes:
                self._exempt_until[process.ip] = (
                    time.monotonic() + extra_seconds
                )

    def is_excused(self, entry: str, since: float) -> bool:
        """Tell whether an entry had a fault after a time."""
        return self._exempt_until.get(entry, since) > since

    async def run(self, seconds: float) -> InvariantChecker:
        """Run the test.

        :param seconds: time for which faults are injected, in seconds
        :returns: the checker with the violations found
        """
        async with contextlib.AsyncExitStack() as stack:
            log = await stack.enter_async_context(RunLog(self.folder))
            for target in self.targets:
                target.log = log
            session = await stack.enter_async_context(
                run_all((*self.voters, *self.entries))
            )
            self.session = session
            links = [part for found in self.links.values() for part in found]
            for part in (*self.targets, *self.proxies, *links):
                await stack.enter_async_context(part)
            await self.update_config(session, 30.0)
            works = [self.call(session, n) for n in range(CALLERS)]
            works += [
                self.update_config_repeatedly(session),
                self.read(),
            ]
            tasks = [asyncio.create_task(work) for work in works]
            try:
                await self.faults.inject(seconds)
                await self.faults.finish()
                await self.recover()
                await self.check_final_config()
            finally:
                for task in tasks:
                    task.cancel()
                ends = await asyncio.gather(*tasks, return_exceptions=True)
            for end in ends:
                if not isinstance(end, asyncio.CancelledError):
                    self.checker.violations.append(
                        f"soak task failed: {end!r}"
                    )
        return self.checker

    async def call(self, session, caller: int) -> None:
        """Send requests, one after the other, until cancelled."""
        while True:
            self.number += 1
            identity = f"r{caller}-{self.number}"
            kind = self.rng.choice(self._calls)
            entry = self.rng.choice(self.entries)
            began, served = time.monotonic(), False
            if kind == "resume":
                await self._take_up_until_whole(session, identity)
                continue
            try:
                served = await self.send_request(
                    session, entry, kind, identity
                )
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self.checker.record_failure(
                    identity, error, entry is self.stopping_entry
                )
            self.tries.append(FirstTry(began, entry.ip, served))
            await asyncio.sleep(0.02)

    async def _take_up_until_whole(self, session, identity: str) -> None:
        """Have a stream, and take it up at any entry where it breaks."""
        record = StreamRecord(self.checker.first_number)
        for number in range(MAX_ATTEMPTS):
            entry = self.rng.choice(self.entries)
            await attempt_stream(
                session,
                entry.ip,
                f"{identity}-{number}",
                record,
                make_sender_headers(entry.ip),
            )
            if record.whole:
                break
            await asyncio.sleep(0.1)
        self.checker.record_resumed(identity, record)

    async def send_part(self, part: str) -> None:
        """Send a request with a part on which targets crash.

        It earns nothing, whatever is answered; no two are alike.
        """
        self.number += 1
        identity = f"p{self.number}"
        entry = self.rng.choice(self.entries)
        hashes = f"f00d:1,{part}:1,{self.number:x}:1"
        headers = make_caller_headers(identity, 1500)
        headers |= make_sender_headers(entry.ip)
        headers["X-Chivepier-Prefix-Hash"] = hashes
        url = f"http://{entry.ip}:8740/again/{identity}"
        limit = aiohttp.ClientTimeout(total=2.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.post(
                url, data=b"x", headers=headers, timeout=limit
            ) as answer:
                await answer.read()

    async def send_request(self, session, entry, kind, identity) -> bool:
        """Send one request and record its answer.

        :returns: whether it was answered whole
        """
        headers = make_caller_headers(identity, 4000)
        headers |= make_sender_headers(entry.ip)
        url = f"http://{entry.ip}:8740/{kind}/{identity}"
        async with session.post(url, data=b"x", headers=headers) as answer:
            if kind != "stream" or answer.status != 200:
                body = await answer.read()
                self.checker.record_answer(identity, answer.status, body)
                return answer.status == 200
            data, whole = b"", False
            try:
                async for part in answer.content.iter_any():
                    data += part
                whole = True
            except (aiohttp.ClientError, TimeoutError) as error:
                self.checker.record_failure(
                    identity, error, entry is self.stopping_entry
                )
            self.checker.record_stream(identity, data, whole)
            self.checker.check_series(
                identity, self._make_record(identity, data, whole)
            )
            return whole

    def _make_record(
        self, identity: str, data: bytes, whole: bool
    ) -> StreamRecord:
        """Return what a caller got of a stream that may run once."""
        record = StreamRecord(self.checker.first_number)
        record.begin_attempt(identity)
        record.feed(data)
        if whole:
            record.end()
        return record

    async def update_config_repeatedly(self, session) -> None:
        """Store new configurations at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            await self.update_config(session, 10.0)

    async def update_config(self, session, seconds: float) -> None:
        """Send a new configuration until a voter acknowledges it."""
        self.version += self.rng.randint(1, 5)
        config = make_config(self.version, resumable_runs=self._resumable_runs)
        body = json.dumps(config)
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
                        self.checker.acknowledged += 1
                        return
                    if answer.status != 503:
                        text = f"version {self.version}: {answer.status}"
                        self.checker.violations.append(text)
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)

    async def read(self) -> None:
        """Read the configuration back from random voters until cancelled."""
        while True:
            await self.check_config(self.rng.choice(self.controls))
            await asyncio.sleep(0.2)

    async def check_config(self, control: str) -> int | None:
        """Read the configuration from one voter and check its version.

        :param control: control address of the voter
        """
        sent = time.monotonic()
        floor = max(
            (v for t, v in self.acknowledged if t < sent - APPLY_SECONDS),
            default=0,
        )
        url = f"http://{control}/chivepier/config"
        try:
            limit = aiohttp.ClientTimeout(total=1.5)
            async with self.session.get(url, timeout=limit) as answer:
                if answer.status != 200:
                    return None
                version = json.loads(await answer.read())["version"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        self.checker.check_read(version, floor)
        return version

    async def recover(self) -> None:
        """End every fault, and wait until callers are served again."""
        for process in (*self.voters, *self.entries):
            process.signal(signal.SIGCONT)
            process.start()
        for part in (*self.targets, *self.proxies):
            part.fault_mode = ""
        if any(target.restarted for target in self.targets):
            # Until then a target whose heartbeats are rejected is still used.
            await asyncio.sleep(TARGET_TTL_SECONDS)
            for target in self.targets:
                target.runs = 0
        wanted = self.checker.answered + 30
        end = time.monotonic() + RECOVERY_SECONDS
        while self.checker.answered < wanted or self.find_idle():
            if time.monotonic() > end:
                text = f"not served after the faults; {describe(self.targets)}"
                text += f"; unused: {self.find_idle()}"
                self.checker.violations.append(text)
                return
            await asyncio.sleep(0.1)

    def find_idle(self) -> list[str]:
        """Return the restarted targets that have run no request since."""
        return [t.address for t in self.targets if t.restarted and not t.runs]

    async def check_final_config(self) -> None:
        """Wait until the newest acknowledged configuration can be read."""
        await asyncio.sleep(APPLY_SECONDS)
        end = time.monotonic() + RECOVERY_SECONDS
        while await self.check_config(self.rng.choice(self.controls)) is None:
            if time.monotonic() > end:
                self.checker.violations.append("no configuration can be read")
                return
            await asyncio.sleep(0.1)
