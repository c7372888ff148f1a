"""Losses of voters, one as soon after the other as the users' pages allow."""

import asyncio
import collections.abc
import random
import shutil
import signal
import time
import typing

from soak.configoperator import RECOVER_SECONDS
from soak.faultdraw import FaultDraw
from soak.process import Process

if typing.TYPE_CHECKING:
    from soak.voterscenario import VoterScenario

# Seconds after which a voter that was lost or replaced counts no longer.
CATCH_UP_SECONDS = 4.0
# Seconds within which a voter ends after a signal.
GRACE_SECONDS = 8.0
# Longest time for which a voter is down, and for which it stands still.
MAX_DOWN_SECONDS, MAX_FREEZE_SECONDS = 3.0, 6.0
# Longest pause between two disturbances beside the losses.
MAX_QUIET_SECONDS = 3.0
# Longest time that a process takes to start on a busy machine.
MAX_START_SECONDS = 30.0


class VoterFaults:
    """Draws losses of voters; one is over before the next one begins.

    :param scenario: the voters and their folder
    :param rng: random number generator
    """

    def __init__(self, scenario: "VoterScenario", rng: random.Random):
        self._scenario = scenario
        self._rng = rng
        self.names: list[str] = []
        self.disturbed: Process | None = None
        kinds = (
            self.replace_planned,
            self.replace_planned,
            self.replace_lost,
            self.lose_disk,
            self.lose_disk,
            self.freeze,
            self.restart,
            self.roll,
            self.kill_all,
        )
        self._draw = FaultDraw(rng, kinds)

    def keep_only(self, *names: str) -> None:
        """Restrict the losses: inject each once, then draw among them.

        :param names: names of methods of this class
        """
        kinds = tuple(getattr(self, name) for name in names)
        self._draw.keep_only(kinds)

    async def inject(self, seconds: float) -> None:
        """Inject losses for some seconds, one after the other."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self._draw.draw()
            self._note(fault.__name__)
            await fault()
            self._scenario.check_processes()

    async def disturb(self, entries: list[Process]) -> None:
        """Disturb what is no loss of a voter beside the losses."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_QUIET_SECONDS))
            if self._rng.random() < 0.3:
                await self._reload(self._rng.choice(self._scenario.voters))
                continue
            self.disturbed = self._rng.choice(entries)
            try:
                await self._disturb_entry(self.disturbed)
            except asyncio.CancelledError:
                # it may be about to stop
                self.disturbed.end()
                raise
            finally:
                self.disturbed = None

    async def _reload(self, voter: Process) -> None:
        # before it handles the signal, a process ends by it
        if voter.handles_signal(signal.SIGHUP):
            voter.signal(signal.SIGHUP)

    async def _disturb_entry(self, entry: Process) -> None:
        match self._rng.choice(("kill", "stop", "freeze")):
            case "kill":
                entry.end()
            case "stop":
                await self._stop(entry)
                entry.end()
            case "freeze":
                entry.signal(signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(0.1, 3.0))
                entry.signal(signal.SIGCONT)
        entry.start()

    def _note(self, name: str) -> None:
        self.names.append(name)
        self._scenario.log.write("fault", name=name)

    async def replace_planned(self) -> None:
        """Start a successor, give it its time, and end the old voter."""
        old = self._rng.choice(self._scenario.voters)
        fresh = self._scenario.add_voter()
        await self._await_start(fresh)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await self._end_for_good(old)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def replace_lost(self) -> None:
        """End a voter for good, and start its successor then."""
        await self._end_for_good(self._rng.choice(self._scenario.voters))
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self._await_start(self._scenario.add_voter())
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _end_for_good(self, voter: Process) -> None:
        if self._rng.random() < 0.5:
            await self._stop(voter)
        self._scenario.remove_voter(voter)

    async def _stop(self, voter: Process) -> None:
        voter.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS
        while voter.alive and time.monotonic() < end:
            await asyncio.sleep(0.05)

    async def lose_disk(self) -> None:
        """Kill a voter, and start it without its data."""
        voter = self._rng.choice(self._scenario.voters)
        voter.end()
        self._delete_data(voter)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_SECONDS))
        await self._start(voter)

    def _delete_data(self, voter: Process) -> None:
        folder = self._scenario.folder / f"data-{voter.name}"
        shutil.rmtree(folder, ignore_errors=True)

    async def freeze(self) -> None:
        """Pause a voter."""
        voter = self._rng.choice(self._scenario.voters)
        voter.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, MAX_FREEZE_SECONDS))
        voter.signal(signal.SIGCONT)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def restart(self) -> None:
        """Stop a voter in order, and start it again."""
        await self._restart(self._rng.choice(self._scenario.voters))

    async def roll(self) -> None:
        """Restart all voters, one after the other."""
        for voter in list(self._scenario.voters):
            await self._restart(voter)

    async def _restart(self, voter: Process) -> None:
        await self._stop(voter)
        voter.end()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self._start(voter)

    async def kill_all(self) -> None:
        """Kill all voters at once, and start them with their data."""
        await self._end_all()
        await asyncio.sleep(RECOVER_SECONDS)

    async def kill_all_and_lose_disk(self) -> None:
        """Kill all voters at once, one of which loses its data."""
        self._note("kill_all_and_lose_disk")
        await self._end_all(self._rng.choice(self._scenario.voters))

    async def _end_all(self, wiped: Process | None = None) -> None:
        with self._scenario.operator.expect_no_service():
            for voter in self._scenario.voters:
                voter.end()
            if wiped is not None:
                self._delete_data(wiped)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            for voter in self._scenario.voters:
                voter.start()
            await self._await_all(self._scenario.voters)

    async def _await_all(
        self, voters: collections.abc.Iterable[Process]
    ) -> None:
        for voter in voters:
            await self._await_start(voter)

    async def _start(self, voter: Process) -> None:
        voter.start()
        await self._await_start(voter)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _await_start(self, voter: Process) -> None:
        """Wait until a process serves: its time to catch up begins then."""
        end = time.monotonic() + MAX_START_SECONDS
        while not await self._scenario.is_serving(voter):
            if time.monotonic() > end:
                text = f"{voter.name} has not started"
                self._scenario.checker.violations.append(text)
                return
            await asyncio.sleep(0.05)
