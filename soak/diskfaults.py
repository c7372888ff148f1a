"""Writes of running voters that are refused for a while."""

import asyncio
import collections.abc
import contextlib
import errno
import random
import typing

from soak.configoperator import CATCH_UP_SECONDS
from soak.configoperator import RECOVER_SECONDS
from soak.process import Process

if typing.TYPE_CHECKING:
    from soak.voterfaults import VoterFaults
    from soak.voterscenario import VoterScenario

# Range of the time for which writes are refused.
MIN_REFUSED_SECONDS, MAX_REFUSED_SECONDS = 0.5, 6.0
# Longest time between two disks, or between one and another trouble.
MAX_GAP_SECONDS = 2.0
# Of the next writes, so many bytes at most are still taken.
MAX_TORN_BYTES = 60_000
# So many calls at most still pass before one is refused.
MAX_ACCEPTED = 4
ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.EFBIG)


class DiskFaults:
    """Refuses writes of voters, alone and beside other losses.

    The system refuses them by a limit of the files' size, or a stand-in for
    the disk does, with other errors, at other steps.

    :param scenario: the voters and their folder
    :param losses: the other losses
    :param rng: random number generator
    """

    def __init__(
        self,
        scenario: "VoterScenario",
        losses: "VoterFaults",
        rng: random.Random,
    ):
        self._scenario = scenario
        self._losses = losses
        self._rng = rng
        self.kinds = (
            self.fill_disk,
            self.fill_disks_in_series,
            self.fill_two_disks,
            self.fill_all_disks,
            self.tear_writes_then_kill_all,
            self.fill_all_disks_and_lose_power,
            self.restart_on_full_disk,
            self.lose_disk_and_start_on_full_disk,
            self.kill_beside_full_disk,
            self.lose_disk_beside_full_disk,
            self.freeze_beside_full_disk,
            self.replace_beside_full_disk,
        )

    @contextlib.contextmanager
    def _refused(self, voter: Process) -> collections.abc.Iterator[None]:
        """Refuse the writes of a voter, in one of several ways."""
        way = self._rng.choice((self._fill, self._tear, self._fail))
        way(voter)
        try:
            yield
        finally:
            voter.limit_files(None)
            voter.refusals.accept()

    def _fill(self, voter: Process) -> None:
        voter.limit_files(0)

    def _tear(self, voter: Process) -> None:
        room = self._rng.randint(1, MAX_TORN_BYTES)
        voter.limit_files(voter.read_log_bytes() + room)

    def _fail(self, voter: Process) -> None:
        voter.refusals.refuse(
            self._rng.choice(ERRORS),
            accepted=self._rng.randint(0, MAX_ACCEPTED),
            torn=self._rng.random() < 0.5,
        )

    async def _refuse(self, voter: Process) -> None:
        with self._refused(voter):
            await self._wait_full()

    async def _wait_full(self) -> None:
        await asyncio.sleep(
            self._rng.uniform(MIN_REFUSED_SECONDS, MAX_REFUSED_SECONDS)
        )

    async def _wait_gap(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_GAP_SECONDS))

    async def _recover(self, seconds: float = CATCH_UP_SECONDS) -> None:
        await self._scenario.check_service()
        await asyncio.sleep(seconds)

    async def fill_disk(self) -> None:
        """Refuse the writes of one voter."""
        await self._refuse(self._rng.choice(self._scenario.voters))
        await self._recover()

    async def fill_disks_in_series(self) -> None:
        """Refuse the writes of all voters, one after the other."""
        voters = list(self._scenario.voters)
        self._rng.shuffle(voters)
        for voter in voters:
            await self._refuse(voter)
            await self._recover()

    async def fill_two_disks(self) -> None:
        """Refuse the writes of two voters at once."""
        await self._fill_at_once(self._rng.sample(self._scenario.voters, 2))

    async def fill_all_disks(self) -> None:
        """Refuse the writes of all voters at once."""
        await self._fill_at_once(list(self._scenario.voters))

    async def _fill_at_once(self, voters: list[Process]) -> None:
        with self._scenario.operator.expect_no_service():
            async with asyncio.TaskGroup() as group:
                for voter in voters:
                    group.create_task(self._refuse(voter))
                    await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await self._recover()

    async def tear_writes_then_kill_all(self) -> None:
        """Tear the writes of two voters; then kill all, and start them."""
        for voter in self._rng.sample(self._scenario.voters, 2):
            self._tear(voter)
            await self._wait_full()
            voter.limit_files(None)
            await self._recover()
        await self._losses.end_all()
        await self._recover(RECOVER_SECONDS)

    async def fill_all_disks_and_lose_power(self) -> None:
        """Let all voters lose power while their writes are refused."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._scenario.operator.expect_no_service())
            for voter in self._scenario.voters:
                stack.enter_context(self._refused(voter))
            await self._wait_full()
            await self._losses.end_all(loses_power=True)
        await self._recover(RECOVER_SECONDS)

    async def restart_on_full_disk(self) -> None:
        """Start a voter again while its writes are refused."""
        voter = self._rng.choice(self._scenario.voters)
        await self._start_full(voter)

    async def lose_disk_and_start_on_full_disk(self) -> None:
        """Start a voter without its data while its writes are refused."""
        voter = self._rng.choice(self._scenario.voters)
        voter.end()
        voter.disk.lose_disk()
        await self._start_full(voter)

    async def _start_full(self, voter: Process) -> None:
        with self._refused(voter):
            await self._wait_gap()
            if self._rng.random() < 0.5:
                await self._losses.stop(voter)
            voter.end()
            voter.start()
            while voter.alive and not voter.is_loading:
                await asyncio.sleep(0.05)
            await self._wait_full()
        await self._losses.await_start(voter)
        await self._recover()

    async def kill_beside_full_disk(self) -> None:
        """Kill a voter and start it while another's writes are refused."""
        await self._lose_beside(loses_disk=False)

    async def lose_disk_beside_full_disk(self) -> None:
        """Let a voter lose its disk while another's writes are refused."""
        await self._lose_beside(loses_disk=True)

    async def _lose_beside(self, loses_disk: bool) -> None:
        full, lost = self._rng.sample(self._scenario.voters, 2)
        with self._scenario.operator.expect_no_service():
            with self._refused(full):
                await self._wait_gap()
                lost.end()
                if loses_disk:
                    lost.disk.lose_disk()
                await self._wait_gap()
                lost.start()
                await self._wait_gap()
        await self._losses.await_start(lost)
        await self._recover(RECOVER_SECONDS)

    async def freeze_beside_full_disk(self) -> None:
        """Let a voter stand still while another's writes are refused."""
        full, other = self._rng.sample(self._scenario.voters, 2)
        with self._scenario.operator.expect_no_service():
            async with asyncio.TaskGroup() as group:
                group.create_task(self._refuse(full))
                await self._wait_gap()
                group.create_task(self._losses.pause(other))
        await self._recover()

    async def replace_beside_full_disk(self) -> None:
        """Replace a voter as planned while another's writes are refused."""
        await self._losses.replace_beside(self._refuse)
        await self._recover()
