"""Losses of voters, one as soon after the other as the users' pages allow."""

import asyncio
import collections.abc
import random
import signal
import time
import typing

from soak.configoperator import CATCH_UP_SECONDS
from soak.configoperator import RECOVER_SECONDS
from soak.diskfaults import DiskFaults
from soak.faultdraw import FaultDraw
from soak.process import Process

if typing.TYPE_CHECKING:
    from soak.voterscenario import VoterScenario

# Seconds within which a voter ends after a signal.
GRACE_SECONDS = 8.0
# Longest time for which a voter is down, and for which it stands still.
MAX_DOWN_SECONDS, MAX_FREEZE_SECONDS = 3.0, 6.0
# For so long one stands still beside a replacement: its vote is taken.
FREEZE_BESIDE_SECONDS = 3.0
# Longest pause between two disturbances beside the losses.
MAX_QUIET_SECONDS = 3.0
# Longest time between two starts after all have ended.
MAX_GAP_SECONDS = 0.3
# Longest time that a process takes to start on a busy machine.
MAX_START_SECONDS = 30.0

Disturb = collections.abc.Callable[
    [Process], collections.abc.Coroutine[None, None, None]
]


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
        self.disks = DiskFaults(scenario, self, rng)
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
            self.stall_disk,
            self.replace_beside_frozen,
            self.replace_beside_stalled,
            self.lose_disk_after_replacement_beside_frozen,
            self.lose_power,
        )
        # losses stay the most
        self._draw = FaultDraw(rng, (*kinds, *kinds, *self.disks.kinds))

    def keep_only(self, *names: str) -> None:
        """Restrict the losses: inject each once, then draw among them.

        :param names: names of methods of this class or of its disks
        """
        kinds = tuple(
            getattr(self if hasattr(self, name) else self.disks, name)
            for name in names
        )
        self._draw.keep_only(kinds)

    async def inject(self, seconds: float) -> None:
        """Inject losses for some seconds, one after the other.

        A majority takes changes before all have started, and a voter founds
        its folder first.
        """
        await self._await_all(self._scenario.voters)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self._draw.draw()
            self._note(fault.__name__)
            await fault()
            await self._scenario.check_service()
            await self._scenario.check_losses_borne()
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
                await self.stop(entry)
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
        await self.await_start(fresh)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await self.end_for_good(old)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def replace_lost(self) -> None:
        """End a voter for good, and start its successor then."""
        await self.end_for_good(self._rng.choice(self._scenario.voters))
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self.await_start(self._scenario.add_voter())
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def end_for_good(self, voter: Process) -> None:
        """Stop or kill a voter that does not come back."""
        if self._rng.random() < 0.5:
            await self.stop(voter)
        self._scenario.remove_voter(voter)

    async def stop(self, voter: Process) -> None:
        """Stop a process in order, or see it stay."""
        voter.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS
        while voter.alive and time.monotonic() < end:
            await asyncio.sleep(0.05)

    async def lose_disk(self) -> None:
        """Kill a voter, and start it without its data."""
        voter = self._rng.choice(self._scenario.voters)
        voter.end()
        voter.disk.lose_disk()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_DOWN_SECONDS))
        await self.start(voter)

    async def freeze(self) -> None:
        """Pause a voter."""
        await self.pause(self._rng.choice(self._scenario.voters))
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def pause(self, voter: Process) -> None:
        """Let a voter stand still for a while."""
        voter.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, MAX_FREEZE_SECONDS))
        voter.signal(signal.SIGCONT)

    async def stall_disk(self) -> None:
        """Let a voter's disk answer nothing for some seconds."""
        await self._stall(self._rng.choice(self._scenario.voters))
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _stall(self, voter: Process) -> None:
        voter.disk.stall()
        try:
            await asyncio.sleep(self._rng.uniform(0.5, MAX_FREEZE_SECONDS))
        finally:
            voter.disk.go_on()

    async def replace_beside_frozen(self) -> None:
        """Replace a voter as planned while another one stands still."""
        await self.replace_beside(self.pause)

    async def replace_beside_stalled(self) -> None:
        """Replace a voter as planned while another one's disk stalls."""
        await self.replace_beside(self._stall)

    async def replace_beside(self, disturb: Disturb) -> None:
        """Replace a voter as planned while another one is disturbed."""
        old, other = self._rng.sample(self._scenario.voters, 2)
        fresh = self._scenario.add_voter()
        await self.await_start(fresh)
        await asyncio.sleep(CATCH_UP_SECONDS)
        with self._scenario.operator.expect_no_service():
            async with asyncio.TaskGroup() as group:
                group.create_task(disturb(other))
                await asyncio.sleep(self._rng.uniform(0.0, MAX_FREEZE_SECONDS))
                await self.end_for_good(old)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def restart(self) -> None:
        """Stop a voter in order, and start it again."""
        await self._restart(self._rng.choice(self._scenario.voters))

    async def roll(self) -> None:
        """Restart all voters, one after the other."""
        for voter in list(self._scenario.voters):
            await self._restart(voter)

    async def _restart(self, voter: Process) -> None:
        await self.stop(voter)
        voter.end()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self.start(voter)

    async def kill_all(self) -> None:
        """Kill all voters at once, and start them with their data."""
        await self.end_all()
        await asyncio.sleep(RECOVER_SECONDS)

    async def kill_all_and_lose_disk(self) -> None:
        """Kill all voters at once, one of which loses its data."""
        self._note("kill_all_and_lose_disk")
        await self.end_all(self._rng.choice(self._scenario.voters))

    async def lose_disk_after_replacement_beside_frozen(self) -> None:
        """Replace a voter while a second one stands still; wipe a third."""
        old, other, third = self._rng.sample(self._scenario.voters, 3)
        fresh = self._scenario.add_voter()
        await self.await_start(fresh)
        await asyncio.sleep(CATCH_UP_SECONDS)
        with self._scenario.operator.expect_no_service():
            other.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_BESIDE_SECONDS)
            other.signal(signal.SIGCONT)
            await self.stop(old)
            self._scenario.remove_voter(old)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await self._scenario.check_losses_borne()
        third.end()
        third.disk.lose_disk()
        await self.start(third)

    async def lose_power(self) -> None:
        """Let all voters lose power at once."""
        await self.end_all(loses_power=True)
        await asyncio.sleep(RECOVER_SECONDS)

    async def lose_power_and_disk(self, entries: list[Process]) -> None:
        """Let all processes lose power; one voter also loses its disk.

        :param entries: they come back with the voters
        """
        self._note("lose_power_and_disk")
        for entry in entries:
            entry.end()
        wiped = self._rng.choice(self._scenario.voters)
        await self.end_all(wiped, loses_power=True)
        for entry in entries:
            entry.start()

    async def end_all(
        self, wiped: Process | None = None, loses_power: bool = False
    ) -> None:
        """Kill all voters at once, and start them in any order.

        :param wiped: loses its disk
        :param loses_power: whether the others lose what was not synced
        """
        with self._scenario.operator.expect_no_service():
            voters = list(self._scenario.voters)
            for voter in voters:
                voter.end()
            for voter in voters:
                if voter is wiped:
                    voter.disk.lose_disk()
                elif loses_power:
                    voter.disk.lose_power(self._rng)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            # who lost its disk may be the first or the last to come back
            self._rng.shuffle(voters)
            for voter in voters:
                voter.start()
                await asyncio.sleep(self._rng.uniform(0.0, MAX_GAP_SECONDS))
            await self._await_all(voters)

    async def _await_all(
        self, voters: collections.abc.Iterable[Process]
    ) -> None:
        for voter in voters:
            await self.await_start(voter)

    async def start(self, voter: Process) -> None:
        """Start a voter, and let it catch up."""
        voter.start()
        await self.await_start(voter)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def await_start(self, voter: Process) -> None:
        """Wait until a process serves: its time to catch up begins then."""
        end = time.monotonic() + MAX_START_SECONDS
        while not await self._scenario.is_serving(voter):
            if time.monotonic() > end:
                text = f"{voter.name} has not started"
                self._scenario.checker.violations.append(text)
                return
            await asyncio.sleep(0.05)
