"""Voters that are lost and replaced beside hundreds of large changes."""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import random
import signal
import time

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.cluster import CALLER_PORT
from soak.cluster import Cluster
from soak.configoperator import CATCH_UP_SECONDS
from soak.configoperator import ConfigOperator
from soak.configoperator import make_large_config
from soak.configoperator import MAX_PAUSE_SECONDS
from soak.configoperator import TOUCH_SECONDS
from soak.faultdraw import Fault
from soak.invariantchecker import InvariantChecker
from soak.process import Process
from soak.process import SESSION_SECONDS
from soak.silentvoters import PLACES
from soak.silentvoters import SilentVoters
from soak.target import SoakTarget
from soak.voterfaults import VoterFaults

# Memory of the smallest instances that the users run.
VOTER_MEMORY_MB, ENTRY_MEMORY_MB = 256, 128
TARGETS, CALLERS = 2, 4
CALLER_PAUSE_SECONDS = 0.02
# Longest time for the losses at the end; without a quorum it would never come.
MAX_END_SECONDS = 90.0
# Seconds after an acknowledgement within which a change is in force, and how
# much longer that may take while voters are lost.
APPLY_SECONDS, UNSTABLE_SECONDS = 2.0, 5.0
# What a voter writes to its log when its disk begins to refuse writes.
REFUSED_TEXT = b'"disk refuses writes'
# Range of the number of changes between two of which the effect is checked.
UNCHECKED_CHANGES = (2, 10)


class VoterScenario:
    """Runs voters, entries, targets, callers and an operator.

    Callers and the operator keep their connections until the process is gone.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param routes: routes of each configuration
    :param goes_silent: whether connections between voters go silent one way
        beside the losses; entries are not disturbed then, and are asked for
        the effect of changes
    :ivar in_force_seconds: what changes of which the effect was checked took
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int = 2,
        routes: int = 350,
        goes_silent: bool = False,
    ):
        self.folder = folder
        self.checker = InvariantChecker()
        self._routes = routes
        self._block = block
        self._cluster = Cluster(
            folder, block, seed, entries, TARGETS, self._make_target
        )
        self.voters = self._cluster.voters
        for voter in self.voters:
            voter.power_disk()
        self.silent: SilentVoters | None = None
        if goes_silent:
            self.silent = SilentVoters(block, random.Random(~seed))
            for voter in self.voters:
                self.silent.link(voter)
        self.in_force_seconds: list[float] = []
        self._made = len(self.voters)
        self.rng = random.Random(seed)
        self.faults = VoterFaults(self, self.rng)
        self.operator: ConfigOperator | None = None
        self._session: aiohttp.ClientSession | None = None
        self._number = 0

    def _make_target(self, address, controls, rng) -> SoakTarget:
        return SoakTarget(address, address, controls, self.checker, rng)

    @property
    def log(self):
        """The scenario's own log."""
        return self._cluster.log

    async def run(self, seconds: float) -> InvariantChecker:
        """Inject losses for some seconds; return the violations found.

        At the end all voters are killed right after an acknowledgement, and
        one of them loses its disk; then the same, and all processes lose
        power.
        """
        async with self._start():
            tasks = [
                asyncio.create_task(work)
                for work in (
                    self._change(),
                    self.operator.read_repeatedly(),
                    self._disturb(),
                    *(self._call() for _ in range(CALLERS)),
                )
            ]
            try:
                await self.faults.inject(seconds)
            finally:
                for task in tasks:
                    task.cancel()
                ends = await asyncio.gather(*tasks, return_exceptions=True)
            self._check_ends(ends)
            self._restore_entries()
            try:
                async with asyncio.timeout(MAX_END_SECONDS):
                    await self._end_by(self.faults.kill_all_and_lose_disk)
                    await asyncio.sleep(CATCH_UP_SECONDS)
                    await self._end_by(self._lose_all_power)
            except TimeoutError:
                self.checker.violations.append("no end was reached in time")
        return self.checker

    async def _change(self) -> None:
        if self.silent is None:
            await self.operator.change_repeatedly()
        else:
            await self._change_and_check()

    async def _disturb(self) -> None:
        if self.silent is None:
            await self.faults.disturb(self._cluster.entries)
        else:
            await self.silent.disturb(self.voters)

    async def _change_and_check(self) -> None:
        """Make changes, and check now and then that one is in force."""
        while True:
            for _ in range(self.rng.randint(*UNCHECKED_CHANGES)):
                await self.operator.change()
                await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))
            version, began = self.operator.acknowledged, time.monotonic()
            await asyncio.gather(
                *(
                    self._check_in_force(entry, version, began)
                    for entry in self._cluster.entries
                )
            )

    async def _check_in_force(
        self, entry: Process, version: int, began: float
    ) -> None:
        """Ask an entry for a route of a version until it serves it."""
        bound, is_late = APPLY_SECONDS + UNSTABLE_SECONDS, False
        while True:
            self._number += 1
            reply = await self._cluster.post(
                self._session,
                entry,
                f"/route-{version}-0/x",
                b"x",
                make_caller_headers(f"r{self._number}", 1000),
            )
            if reply.status == 200:
                self.in_force_seconds.append(time.monotonic() - began)
                return
            waited = time.monotonic() - max(began, self.operator.served_since)
            if waited > bound and not is_late:
                is_late = True
                text = f"version {version} not in force at {entry.name}"
                self.checker.violations.append(f"{text} in {waited:.1f} s")
            await asyncio.sleep(CALLER_PAUSE_SECONDS)

    async def _lose_all_power(self) -> None:
        await self.faults.lose_power_and_disk(self._cluster.entries)

    async def _end_by(self, fault: Fault) -> None:
        await self.operator.change()
        await fault()
        await self.operator.check_recovery()
        await self.operator.change()
        await self._check_served()
        self.check_processes()

    async def measure(self, changes: int) -> None:
        """Make changes as fast as they are acknowledged, without a loss."""
        async with self._start():
            for _ in range(changes):
                await self.operator.change()
            self.write_peaks("changed")
            for voter in self.voters:
                voter.end()
                voter.start()
            await asyncio.sleep(CATCH_UP_SECONDS)
            await self.operator.check_recovery()
            self.write_peaks("restarted")

    def write_peaks(self, when: str) -> None:
        """Print the most memory that a voter and an entry have taken."""
        processes = (*self.voters, *self._cluster.entries)
        for role in ("voter", "entry"):
            peaks = [p.read_peak_mb() for p in processes if p.role == role]
            print(f"{when}: {role} {max(peaks):.0f} MB")

    @contextlib.asynccontextmanager
    async def _start(self) -> collections.abc.AsyncIterator[None]:
        config = make_large_config(0, self._routes)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._end_added)
            if self.silent is not None:
                await stack.enter_async_context(self.silent)
            self._session = await stack.enter_async_context(
                self._cluster.start(config)
            )
            self.operator = ConfigOperator(
                self._session,
                self._cluster.controls,
                self.checker,
                self.rng,
                self._routes,
            )
            yield

    def _end_added(self) -> None:
        for voter in self.voters:
            voter.end()

    def add_voter(self) -> Process:
        """Start a voter at a new address, with an empty disk."""
        self._made += 1
        ip = f"127.{self._block}.1.{self._made}"
        voter = Process("voter", ip, self._cluster.controls[:3], self.folder)
        voter.power_disk()
        if self.silent is not None and self._made <= PLACES:
            self.silent.link(voter)
        self.voters.append(voter)
        self._cluster.controls.append(f"{ip}:8748")
        voter.start()
        return voter

    def remove_voter(self, voter: Process) -> None:
        """Kill a voter that does not come back."""
        voter.end()
        self.voters.remove(voter)
        self._cluster.controls.remove(f"{voter.ip}:8748")
        for process in (*self.voters, *self._cluster.entries):
            process.update_seeds(self._cluster.controls[:3])

    async def is_serving(self, voter: Process) -> bool:
        """Tell whether a voter accepts connections."""
        try:
            _, writer = await asyncio.open_connection(voter.ip, 8748)
        except OSError:
            return False
        writer.close()
        return True

    async def check_service(self) -> None:
        """Check that changes are acknowledged and read again in time."""
        await asyncio.gather(
            self.operator.check_acknowledged(), self.operator.check_recovery()
        )

    async def check_losses_borne(self) -> None:
        """Check that the voters bear the next lost disk."""
        end = time.monotonic() + TOUCH_SECONDS
        while self._read_losses_borne() < 1:
            if time.monotonic() > end:
                fault = self.faults.names[-1]
                text = f"no lost disk is borne after {fault}"
                self.checker.violations.append(text)
                return
            await asyncio.sleep(0.1)

    def _read_losses_borne(self) -> int:
        """Return how many lost disks are borne by the newest leader."""
        surveys = []
        for path in self.folder.glob("voter-*.log"):
            for line in path.read_bytes().splitlines():
                if b'"event":"voters"' in line:
                    surveys.append(json.loads(line))
        if not surveys:
            return 0
        return max(surveys, key=lambda line: line["t"])["losses_borne"]

    def count_refusals(self) -> int:
        """Return how often a voter's disk began to refuse writes."""
        return sum(
            path.read_bytes().count(REFUSED_TEXT)
            for path in self.folder.glob("voter-*.log")
        )

    def _restore_entries(self) -> None:
        for entry in self._cluster.entries:
            entry.signal(signal.SIGCONT)
            entry.start()

    def check_processes(self) -> None:
        """Check that no process has ended, or taken too much memory."""
        for process in (*self.voters, *self._cluster.entries):
            if process is self.faults.disturbed:
                continue
            if not process.alive:
                text = f"{process.name} ended unexpectedly"
                self.checker.violations.append(text)
                process.start()
                continue
            limit = VOTER_MEMORY_MB
            if process.role == "entry":
                limit = ENTRY_MEMORY_MB
            if (peak := process.read_peak_mb()) > limit:
                text = f"{process.name} has taken {peak:.0f} MB"
                self.checker.violations.append(text)

    def _check_ends(self, ends: list) -> None:
        for end in ends:
            if not isinstance(end, asyncio.CancelledError):
                self.checker.violations.append(f"a task failed: {end!r}")

    async def _call(self) -> None:
        while True:
            await self._send()
            await asyncio.sleep(CALLER_PAUSE_SECONDS)

    async def _send(self) -> None:
        self._number += 1
        identity = f"r{self._number}"
        entry = self.rng.choice(self._cluster.entries)
        url = f"http://{entry.ip}:{CALLER_PORT}/again/{identity}"
        try:
            async with self._session.post(
                url, data=b"x", headers=make_caller_headers(identity, 4000)
            ) as answer:
                body = await answer.read()
                self.checker.record_answer(identity, answer.status, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.checker.record_failure(identity, error, False)

    async def _check_served(self) -> None:
        """Check that callers are served at the end."""
        answered = self.checker.answered
        async with asyncio.timeout(2 * SESSION_SECONDS):
            while self.checker.answered == answered:
                await self._send()
