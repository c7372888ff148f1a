"""Entries that stand still while streams go on elsewhere."""

import asyncio
import enum
import itertools
import pathlib
import signal

import aiohttp

from soak.process import Process
from soak.rebornscenario import EVENT_SECONDS
from soak.rebornscenario import RebornScenario
from soak.streamcaller import attempt_stream
from soak.streamrecord import StreamRecord
from soak.targetlink import Cut
from soak.targetlink import heal_all

# Ranges of seconds: for which an entry stands still, from the begin of a
# disturbance to the sleep, and from the sleep to the end of the disturbance.
ASLEEP_SECONDS = (0.2, 1.2)
BEFORE_SECONDS = (0.0, 0.3)
AFTER_SECONDS = (0.0, 0.6)
# Seconds for which a target is silent before that: its callers' deadline is
# over, and they have gone on elsewhere.
SILENT_SECONDS = 4.2
# Seconds between two attempts of a caller at one stream.
RETRY_SECONDS = 0.1
MAX_ATTEMPTS = 12


class Disturbance(enum.Enum):
    """What happens beside the sleep.

    ``CRASH`` ends a target, which starts again; ``SILENCE`` holds back all
    bytes of a target, which come once callers went on elsewhere; ``CUT``
    breaks all connections of an entry to targets, so that others forward for
    it; ``KILL`` ends the other entry, which starts again.
    """

    CRASH = "crash"
    SILENCE = "silence"
    CUT = "cut"
    KILL = "kill"


class SleepScenario(RebornScenario):
    """Has streams taken up while one entry or both stand still.

    :ivar continued: streams that went on after an attempt that broke off
    """

    def __init__(self, folder: pathlib.Path, block: int, seed: int):
        super().__init__(folder, block, seed)
        self.continued = 0

    async def _call(self, session: aiohttp.ClientSession) -> None:
        while True:
            record = StreamRecord()
            self.streams.append(record)
            for _ in range(MAX_ATTEMPTS):
                before = record.received
                entry = self.rng.choice(self.entries)
                attempt = f"s{next(self._ids)}"
                await attempt_stream(session, entry.ip, attempt, record)
                self.continued += 0 < before < record.received
                if record.whole:
                    break
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(EVENT_SECONDS)

    async def disturb(self, disturbance: Disturbance) -> None:
        """Let one entry or both sleep, in the midst of a disturbance."""
        sleepers = self.rng.sample(self.entries, self.rng.randint(1, 2))
        match disturbance:
            case Disturbance.CRASH:
                target = self.rng.choice(self.targets)
                target.crash()
                await self._sleep(sleepers)
                await target.start_anew()
            case Disturbance.SILENCE:
                target = self.rng.choice(self.targets)
                links = [
                    link
                    for link in itertools.chain(*self.links.values())
                    if link.leads_to(target.address)
                ]
                for link in links:
                    link.cut(Cut.SILENT)
                await asyncio.sleep(SILENT_SECONDS)
                asleep = asyncio.create_task(self._sleep(sleepers))
                await asyncio.sleep(self.rng.uniform(*BEFORE_SECONDS))
                await heal_all(links)
                await asleep
            case Disturbance.CUT:
                links = self.links[self.rng.choice(self.entries).ip]
                for link in links:
                    link.cut(Cut.RESET)
                await self._sleep(sleepers)
                await heal_all(links)
            case Disturbance.KILL:
                killed = self.rng.choice(self.entries)
                killed.end()
                await self._sleep([e for e in self.entries if e != killed])
                killed.start()
        await asyncio.sleep(self.rng.uniform(*ASLEEP_SECONDS))

    async def _sleep(self, entries: list[Process]) -> None:
        await asyncio.sleep(self.rng.uniform(*BEFORE_SECONDS))
        for entry in entries:
            entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*ASLEEP_SECONDS))
        if self.rng.random() < 0.5:
            self._wake(entries)
        await asyncio.sleep(self.rng.uniform(*AFTER_SECONDS))
        self._wake(entries)

    def _wake(self, entries: list[Process]) -> None:
        for entry in entries:
            entry.signal(signal.SIGCONT)
