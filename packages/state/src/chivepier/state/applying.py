"""Applying what is committed, and taking snapshots."""

import asyncio
import contextlib

from chivepier.state.core import Core
from chivepier.state.snapshotpolicy import SnapshotPolicy
from chivepier.state.storagefailederror import StorageFailedError

TURN = 64


class Applying:
    """One task that applies committed entries in order."""

    def __init__(self, core: Core, policy: SnapshotPolicy):
        self._core = core
        self._policy = policy
        self._bytes = 0

    async def run(self) -> None:
        """Apply for as long as the voter runs."""
        core = self._core
        while core.error is None:
            for _ in range(TURN):
                if not self._has_next():
                    break
                self._apply_next()
            # taken again once the disk accepts writes
            with contextlib.suppress(StorageFailedError):
                await self._compact()
            if self._has_next():
                # a long log must not hold back heartbeats
                await asyncio.sleep(0)
            else:
                await core.committed.wait()

    def _has_next(self) -> bool:
        core = self._core
        index = core.machine.index
        # while a snapshot is being installed the log already begins after it
        return core.storage.snapshot.index <= index < core.commit

    def _apply_next(self) -> None:
        core = self._core
        index = core.machine.index + 1
        (entry,) = core.storage.read(index, 1)
        answer = core.machine.apply(entry)
        self._bytes += len(entry.command)
        if core.tenure is None:
            return
        core.tenure.settle(index, answer)
        if index == core.sets.latest_index and not core.is_voter():
            # it led until its own removal was committed
            core.follow("")

    async def _compact(self) -> None:
        core = self._core
        snapshot = core.storage.snapshot
        due = self._policy.is_due(
            entries=core.machine.index - snapshot.index,
            size=self._bytes,
            last_size=len(snapshot.data),
        )
        if not due:
            return
        async with core.lock:
            if core.refusal is not None:
                return
            if core.machine.index <= core.storage.snapshot.index:
                return
            snapshot = core.machine.take_snapshot()
            await core.store(core.storage.save_snapshot(snapshot))
        self._bytes = 0
