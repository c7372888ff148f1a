"""Plays troubles on a press scenario, one or several at a time."""

import asyncio
import collections.abc
import contextlib
import json
import shutil
import signal
import time

import aiohttp

from soak.answerfaults import AnswerFault
from soak.disturbances import wait_until_listening
from soak.doubtfultarget import DoubtfulTarget
from soak.pressscenario import PressScenario
from soak.process import Process
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.proxy import SLOW
from soak.run import make_config
from soak.targetlink import Cut
from soak.targetlink import heal_all
from soak.trouble import Trouble

# Range of the seconds for which one trouble lasts, and between two of a kind.
TROUBLE_SECONDS = (0.05, 1.5)
PAUSE_SECONDS = (0.0, 0.4)
# Seconds that a voter without data usually takes to be restored.
RESTORE_SECONDS = 6.0
# Seconds after the last trouble within which each entry must serve.
RECOVERY_SECONDS = 20.0
BURST_FACTOR = 3
QUICK_CHANGES = 5
GREY_SHARE = 0.5
GIVE_UP_SHARE = 0.5
BAD_CONFIGS = (b"{", b"[]", b'{"version": "x"}', b'{"version": 1e400}')


class Troubles:
    """Plays troubles on the processes, targets and callers of a scenario.

    Each trouble is whole in itself: what it harms is sound again after it.

    :param scenario: runs entries, voters, targets and callers
    :param session: sends changes of the configuration
    """

    def __init__(
        self, scenario: PressScenario, session: aiohttp.ClientSession
    ):
        self._scenario = scenario
        self._session = session
        self._rng = scenario.rng
        # those that a trouble has taken down, and no other one may touch
        self._harmed: set[Process] = set()

    async def play(
        self, kinds: collections.abc.Iterable[Trouble], seconds: float
    ) -> None:
        """Play troubles beside each other, each several times.

        :param kinds: the troubles
        :param seconds: time after which none begins, in seconds
        """
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._repeat(kind, end) for kind in kinds))

    async def check_recovery(self) -> None:
        """Check that each entry serves a request soon."""
        scenario = self._scenario
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                await scenario.wait_until_served(self._session)
        except TimeoutError:
            text = f"not served by all {RECOVERY_SECONDS} s after troubles"
            scenario.checker.violations.append(text)

    async def _repeat(self, kind: Trouble, end: float) -> None:
        while time.monotonic() < end:
            await self._play_once(kind)
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))

    async def _last(self) -> None:
        await asyncio.sleep(self._rng.uniform(*TROUBLE_SECONDS))

    async def _play_once(self, kind: Trouble) -> None:
        scenario, rng = self._scenario, self._rng
        target = rng.choice(scenario.targets)
        entry = rng.choice(scenario.entries)
        voter = rng.choice(scenario.voters)
        match kind:
            case Trouble.KILL:
                await self._kill(entry)
            case Trouble.VOTER_KILL:
                await self._kill(voter)
            case Trouble.HERD_KILL:
                await self._kill(*scenario.voters, *scenario.entries)
            case Trouble.FREEZE:
                await self._freeze(entry)
            case Trouble.VOTER_FREEZE:
                await self._freeze(voter)
            case Trouble.STOP:
                await self._stop(entry)
            case Trouble.WIPE:
                await self._wipe(voter)
            case Trouble.CUT:
                await self._cut(entry)
            case Trouble.SLOW | Trouble.SILENCE:
                await self._harm_links(kind, entry)
            case Trouble.CHANGES:
                changes = (self._change() for _ in range(QUICK_CHANGES))
                await asyncio.gather(*changes)
            case Trouble.BAD_CONFIG:
                await self._put_config(rng.choice(BAD_CONFIGS))
            case (
                Trouble.BURST
                | Trouble.SHIFT
                | Trouble.REPEAT
                | Trouble.GIVE_UP
            ):
                await self._change_callers(kind, entry)
            case _:
                await self._harm_target(kind, target)

    async def _harm_target(
        self, kind: Trouble, target: DoubtfulTarget
    ) -> None:
        match kind:
            case Trouble.GREY | Trouble.DARK:
                await self._fail_requests(target, kind)
            case Trouble.FLAP | Trouble.CRASH:
                await self._crash(target, renamed=kind is Trouble.CRASH)
            case Trouble.RELEASE:
                for each in self._scenario.targets:
                    await self._replace(each, 0.0)
            case Trouble.SCALE_IN:
                seconds = self._rng.uniform(*TROUBLE_SECONDS)
                await self._replace(target, seconds)
            case Trouble.ANSWER_LOST:
                await self._spoil(target, (AnswerFault.LOST,))
            case Trouble.GARBLE:
                await self._spoil(target, tuple(AnswerFault))
            case _:
                raise ValueError(kind)

    async def _change_callers(self, kind: Trouble, entry: Process) -> None:
        scenario = self._scenario
        match kind:
            case Trouble.BURST:
                more = BURST_FACTOR * scenario.callers
                context = scenario.press(self._session, more)
            case Trouble.SHIFT:
                context = scenario.hold_habits(entry=entry)
            case Trouble.REPEAT:
                context = scenario.hold_habits(repeats_at_once=True)
            case _:
                context = scenario.hold_habits(give_up_share=GIVE_UP_SHARE)
        async with context:
            await self._last()

    async def _fail_requests(
        self, target: DoubtfulTarget, kind: Trouble
    ) -> None:
        target.failed_share = GREY_SHARE
        target.fails_silently = kind is Trouble.DARK
        await self._last()
        target.failed_share = 0.0

    async def _crash(self, target: DoubtfulTarget, renamed: bool) -> None:
        async with target.going:
            target.crash()
            await self._last()
            if renamed:
                await target.start_anew()
            else:
                await target.__aenter__()

    async def _replace(self, target: DoubtfulTarget, seconds: float) -> None:
        async with target.going:
            await target.__aexit__()
            await asyncio.sleep(seconds)
            await target.start_anew()

    async def _spoil(
        self, target: DoubtfulTarget, kinds: tuple[AnswerFault, ...]
    ) -> None:
        target.answer_faults.kinds = kinds
        await self._last()
        target.answer_faults.kinds = ()

    @contextlib.contextmanager
    def _claim(
        self, processes: collections.abc.Iterable[Process]
    ) -> collections.abc.Iterator[list[Process]]:
        """Yield those processes that no other trouble takes down."""
        free = [p for p in processes if p not in self._harmed]
        self._harmed.update(free)
        try:
            yield free
        finally:
            self._harmed.difference_update(free)

    async def _kill(self, *processes: Process) -> None:
        with self._claim(processes) as free:
            for process in free:
                process.end()
            await self._last()
            for process in free:
                process.start()
            await self._wait_until_listening(free)

    async def _stop(self, entry: Process) -> None:
        with self._claim((entry,)) as free:
            for process in free:
                process.signal(signal.SIGTERM)
                while process.alive:
                    await asyncio.sleep(0.05)
                process.start()
            await self._wait_until_listening(free)

    async def _wait_until_listening(self, processes: list[Process]) -> None:
        for process in processes:
            if process in self._scenario.entries:
                await wait_until_listening(process)

    async def _freeze(self, process: Process) -> None:
        process.signal(signal.SIGSTOP)
        await self._last()
        process.signal(signal.SIGCONT)

    async def _wipe(self, voter: Process) -> None:
        with self._claim(self._scenario.voters) as free:
            if len(free) < len(self._scenario.voters):
                # two lost disks of three are more than is borne
                return
            await self._change()
            voter.end()
            folder = self._scenario.folder / f"data-{voter.name}"
            shutil.rmtree(folder, ignore_errors=True)
            voter.start()
            await asyncio.sleep(RESTORE_SECONDS)

    async def _cut(self, entry: Process) -> None:
        links = self._scenario.links[entry.ip]
        if any(link.is_cut for link in links):
            return
        shape = self._rng.choice(list(Cut))
        for link in links:
            link.cut(shape)
        await self._last()
        await heal_all(links)

    async def _harm_links(self, kind: Trouble, entry: Process) -> None:
        links = self._scenario.links[entry.ip]
        mode = SLOW
        if kind is Trouble.SILENCE:
            mode = self._rng.choice((LOST_SENT, LOST_ANSWERS))
        for link in links:
            link.fault_mode = mode
        await self._last()
        for link in links:
            link.fault_mode = ""

    async def _change(self) -> None:
        """Send the configuration once more, as a later version."""
        self._scenario.version += 1
        config = make_config(
            self._scenario.version, self._scenario.route_timeout_ms
        )
        await self._put_config(json.dumps(config).encode())

    async def _put_config(self, body: bytes) -> None:
        control = self._rng.choice(self._scenario.controls)
        url = f"http://{control}/chivepier/config"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._session.put(url, data=body) as answer:
                await answer.read()
