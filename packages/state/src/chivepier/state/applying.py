"""Applying what is committed, and taking snapshots."""

import asyncio

from chivepier.state.core import Core
from chivepier.state.storagefailederror import StorageFailedError

SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 16 << 20
TURN = 64


class Applying:
    """One task that applies committed entries in order."""

    def __init__(self, core: Core, snapshot_entries: int = SNAPSHOT_ENTRIES):
        self._core = core
        self._snapshot_entries = snapshot_entries
        self._bytes = sum(len(e.command) for e in core.storage.entries)

    async def run(self) -> None:
        """Apply for as long as the voter runs."""
        core = self._core
        while core.error is None:
            for _ in range(TURN):
                if not self._has_next():
                    break
                self._apply_next()
            try:
                await self._compact()
            except StorageFailedError:
                return
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
        covered = core.machine.index - core.storage.snapshot.index
        if not covered:
            return
        if covered < self._snapshot_entries:
            limit = max(SNAPSHOT_BYTES, len(core.storage.snapshot.data))
            if self._bytes < limit:
                return
        async with core.lock:
            if core.machine.index <= core.storage.snapshot.index:
                return
            snapshot = core.machine.take_snapshot()
            await core.store(core.storage.save_snapshot(snapshot))
        self._bytes = 0
