"""A release beside one entry that is out of step for a moment."""

import asyncio
import contextlib
import enum
import itertools
import pathlib
import signal

import aiohttp
import attrs

from soak.process import Process
from soak.streamcaller import attempt_stream
from soak.streamrecord import StreamRecord
from soak.targetlink import Cut
from soak.targetlink import heal_all
from soak.versionscenario import RETRY_SECONDS
from soak.versionscenario import VersionedTarget
from soak.versionscenario import VersionScenario
from soak.voterlinks import link_to_voters

OLD_VERSION, NEW_VERSION = "v1", "v2"
# Ranges of seconds: from the begin of the disturbance to the start of the
# first target of the new version, for which its streams go on before they
# break, and from then to the end of the disturbance.
JOIN_SECONDS = (0.0, 0.15)
SERVE_SECONDS = (0.25, 0.5)
STAY_SECONDS = (0.0, 1.5)
# Seconds after the disturbance for which callers still take streams up.
AFTER_SECONDS = 1.5
# Event of a stream that is soon over.
LATE_EVENT = 15
POLL_SECONDS = 0.01
MORE_CALLERS = 12
# Range of seconds before each stream, so that some begin at any moment.
PAUSE_SECONDS = (0.0, 0.4)
MAX_TAKE_UPS = 12


class OutOfStep(enum.Enum):
    """How an entry falls out of step with the others.

    ``CUT`` holds back all bytes between it and the voters, ``STOPPED`` stops
    its process, ``BOTH`` does one within the other.
    """

    CUT = "cut"
    STOPPED = "stopped"
    BOTH = "both"


class Loss(enum.Enum):
    """What breaks the streams of the new version."""

    TARGET = "target"
    ENTRIES = "entries"


@attrs.define
class Answers:
    """Counts of attempts at the entry that is out of step.

    :param refused: attempts to take a stream up that were refused
    :param served: those that brought a further event, or the end
    :param joined: those of them that brought events of another version
    :param cut: those that were answered and broke off before an event
    :param statuses: statuses of those that were refused
    """

    refused: int = 0
    served: int = 0
    joined: int = 0
    cut: int = 0
    statuses: set[int] = attrs.field(factory=set)


class OutOfStepScenario(VersionScenario):
    """Has streams of a new version taken up where it is not known yet.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :ivar answers: what the entry that is out of step answered
    """

    def __init__(self, folder: pathlib.Path, block: int, seed: int):
        super().__init__(folder, block, seed)
        for target in self.targets:
            target.software_version = OLD_VERSION
        self.answers = Answers()
        self.links = link_to_voters(self.entries, self.voters, self.rng)
        self._fresh_address = f"127.{block}.3.99:8080"
        self._straggler: Process | None = None

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster with callers until the context is left."""
        async with contextlib.AsyncExitStack() as stack:
            for link in itertools.chain(*self.links.values()):
                await stack.enter_async_context(link)
            session = await stack.enter_async_context(super().run())
            tasks = [
                asyncio.create_task(self._call(session))
                for _ in range(MORE_CALLERS)
            ]
            try:
                yield session
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            record = StreamRecord()
            self.streams.append(record)
            for _ in range(MAX_TAKE_UPS):
                if self._straggler is None or not record.received:
                    others = [e for e in self.entries if e != self._straggler]
                    await self._attempt(
                        session, self.rng.choice(others), record
                    )
                else:
                    await self._take_up(session, record)
                if record.whole:
                    break
                await asyncio.sleep(RETRY_SECONDS)

    async def _take_up(
        self, session: aiohttp.ClientSession, record: StreamRecord
    ) -> None:
        """Take a stream up at the entry that is out of step."""
        before, versions = record.received, set(record.versions)
        attempt = f"s{next(self._ids)}"
        status = await attempt_stream(
            session, self._straggler.ip, attempt, record
        )
        went_on = record.received > before or record.whole
        self.answers.joined += record.versions != versions
        match status:
            case 200 if went_on:
                self.answers.served += 1
            case 200:
                self.answers.cut += 1
            case 0:
                pass
            case refusal:
                self.answers.refused += 1
                self.answers.statuses.add(refusal)

    async def release(self, manner: OutOfStep, loss: Loss) -> None:
        """Start a target of the new version while an entry is out of step.

        :param manner: how the entry falls out of step
        :param loss: what breaks the streams of the new version
        """
        self._straggler = straggler = self.rng.choice(self.entries)
        fresh = self._make_target(self._fresh_address, self.controls, self.rng)
        fresh.software_version = NEW_VERSION
        links = self.links[straggler.ip]
        if manner is not OutOfStep.STOPPED:
            for link in links:
                link.cut(Cut.SILENT)
        if manner is not OutOfStep.CUT:
            straggler.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*JOIN_SECONDS))
        async with fresh:
            await self._break(fresh, loss)
            if manner is OutOfStep.BOTH:
                straggler.signal(signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(*STAY_SECONDS))
            straggler.signal(signal.SIGCONT)
            if manner is not OutOfStep.STOPPED:
                await heal_all(links)
            await asyncio.sleep(AFTER_SECONDS)
            if loss is Loss.TARGET:
                await fresh.start_again(NEW_VERSION)
            self._straggler = None
            await asyncio.sleep(AFTER_SECONDS)

    def _is_under_way(self, record: StreamRecord) -> bool:
        is_new = record.versions == {NEW_VERSION}
        return is_new and record.received < LATE_EVENT

    async def _break(self, fresh: VersionedTarget, loss: Loss) -> None:
        """Let streams of the new version begin, and break them."""
        await asyncio.sleep(self.rng.uniform(*SERVE_SECONDS))
        while not any(self._is_under_way(record) for record in self.streams):
            await asyncio.sleep(POLL_SECONDS)
        if loss is Loss.TARGET:
            fresh.crash()
            return
        for entry in self.entries:
            if entry != self._straggler:
                entry.end()
                entry.start()
