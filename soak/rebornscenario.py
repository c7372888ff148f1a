"""Targets that end between two events, and start again at their address."""

import asyncio
import contextlib
import enum
import itertools
import pathlib
import random
import signal

import aiohttp

from soak.cluster import Cluster
from soak.invariantchecker import InvariantChecker
from soak.lateends import LateEnds
from soak.run import make_config
from soak.streamcaller import attempt_stream
from soak.streamcaller import RESUME_PATH
from soak.streamrecord import StreamRecord
from soak.target import SoakTarget
from soak.targetlink import Cut
from soak.targetlink import heal_all
from soak.targetlink import link_entries
from soak.targetlink import TargetLink

CALLERS = 8
# Seconds between two events: streams last long enough to be broken off.
EVENT_SECONDS = 0.05
# Seconds for which an entry stands still as its target starts again: longer
# than its checks of a target last.
STILL_SECONDS = 0.6
# Seconds for which a target's address accepts nothing.
HUNG_SECONDS = 1.0
# Seconds in which the end of a connection passes a link.
ARRIVAL_SECONDS = 0.005
# Most seconds for which a target is away while the ends of its connections
# arrive late, and seconds until new ones are forwarded again.
MAX_AWAY_SECONDS, LATE_SECONDS = 1.0, 1.5
# Range of the seconds from such a crash until the entries stand still, and of
# those for which they do.
UNTIL_ASLEEP_SECONDS, ASLEEP_SECONDS = (0.0, 0.2), (0.3, 0.9)
# Seconds after a fault in which streams begin again.
CALM_SECONDS = 0.8
# Path of the route whose streams may run once.
STREAM_PATH = "/stream/x"
# Attempts of a caller at one stream that may be resumed.
MAX_ATTEMPTS = 4


class Rebirth(enum.Enum):
    """How a target ends and starts again.

    ``AT_ONCE`` starts it again in the same moment, ``UNSEEN`` while the
    entries stand still, ``HUNG`` after its address has accepted nothing for a
    while, ``HUNG_UNSEEN`` also stops the entries at first.
    """

    AT_ONCE = "at-once"
    UNSEEN = "unseen"
    HUNG = "hung"
    HUNG_UNSEEN = "hung-unseen"


class RebornScenario(Cluster):
    """Runs targets whose streams have no length and which end and return.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param paths: paths of the streams that callers ask for in turn
    :ivar streams: what callers got of each stream
    :ivar resumptions: attempts of callers that brought further events
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        paths: tuple[str, ...] = (STREAM_PATH,),
    ):
        self._paths = itertools.cycle(paths)
        self.streams: list[StreamRecord] = []
        self.resumptions = 0
        self._ids = itertools.count(1)
        super().__init__(folder, block, seed, 2, 2, self._make_target)
        addresses = [target.address for target in self.targets]
        self.links = link_entries(self.entries, addresses, self.rng)

    def _make_target(
        self, address: str, controls: list[str], rng: random.Random
    ) -> SoakTarget:
        target = SoakTarget(
            address, address, controls, InvariantChecker(), rng
        )
        target.event_seconds = EVENT_SECONDS
        target.framing.lengthless = True
        target.framing.break_share = 0.0
        return target

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the cluster with callers until the context is left."""
        async with contextlib.AsyncExitStack() as stack:
            for link in itertools.chain(*self.links.values()):
                await stack.enter_async_context(link)
            session = await stack.enter_async_context(
                self.start(make_config(1))
            )
            tasks = [
                asyncio.create_task(self._call(session))
                for _ in range(CALLERS)
            ]
            try:
                while not any(stream.whole for stream in self.streams):
                    await asyncio.sleep(0.1)
                yield session
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        while True:
            path = next(self._paths)
            record = StreamRecord()
            self.streams.append(record)
            for _ in range(MAX_ATTEMPTS if path == RESUME_PATH else 1):
                entry = self.rng.choice(self.entries)
                identity, last = f"s{next(self._ids)}", record.received
                await attempt_stream(
                    session, entry.ip, identity, record, path=path
                )
                self.resumptions += 0 < last < record.received
                await asyncio.sleep(EVENT_SECONDS)
                if record.whole:
                    break

    async def bear_again(self, manner: Rebirth) -> None:
        """Let one target end and start again.

        :param manner: how it does so
        """
        target = self.rng.choice(self.targets)
        links = self._find_links(target)
        unseen = manner in (Rebirth.UNSEEN, Rebirth.HUNG_UNSEEN)
        if unseen:
            self._signal(signal.SIGSTOP)
        target.crash()
        if manner in (Rebirth.HUNG, Rebirth.HUNG_UNSEEN):
            # the ends of the streams still arrive
            await asyncio.sleep(ARRIVAL_SECONDS)
            for link in links:
                link.cut(Cut.SILENT)
            await asyncio.sleep(HUNG_SECONDS)
            if unseen:
                self._signal(signal.SIGCONT)
                await asyncio.sleep(HUNG_SECONDS)
            await heal_all(links)
        await target.start_anew()
        if unseen:
            await asyncio.sleep(STILL_SECONDS)
            self._signal(signal.SIGCONT)
        await asyncio.sleep(CALM_SECONDS)

    async def crash_late(self, late: LateEnds, asleep: bool) -> None:
        """Let one target crash, of which entries hear late and unevenly.

        :param late: how the ends of its connections arrive
        :param asleep: whether the entries stand still in between
        """
        target = self.rng.choice(self.targets)
        with contextlib.ExitStack() as stack:
            for link in self._find_links(target):
                stack.enter_context(link.delay_ends(late))
            target.crash()
            async with asyncio.TaskGroup() as group:
                group.create_task(asyncio.sleep(LATE_SECONDS))
                if asleep:
                    group.create_task(self._stand_still())
                await asyncio.sleep(self.rng.uniform(0.0, MAX_AWAY_SECONDS))
                await target.start_anew()
        await asyncio.sleep(CALM_SECONDS)

    async def _stand_still(self) -> None:
        await asyncio.sleep(self.rng.uniform(*UNTIL_ASLEEP_SECONDS))
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*ASLEEP_SECONDS))
        self._signal(signal.SIGCONT)

    def _find_links(self, target: SoakTarget) -> list[TargetLink]:
        links = itertools.chain(*self.links.values())
        return [link for link in links if link.leads_to(target.address)]

    def _signal(self, number: signal.Signals) -> None:
        for entry in self.entries:
            entry.signal(number)

    @property
    def falsely_whole(self) -> list[StreamRecord]:
        """The streams that ended as complete before their last event."""
        return [s for s in self.streams if s.whole and not s.has_end]

    @property
    def broken(self) -> list[StreamRecord]:
        """The streams that began and never ended as complete."""
        return [s for s in self.streams if s.numbers and not s.whole]
