"""Storage in memory that loses what was not synced."""

import random

from chivepier.messages import Entry
from chivepier.state.snapshot import Snapshot
from chivepier.state.storage import Storage
from chivepier.state.testing.memorydisk import MemoryDisk
from chivepier.types import Clock

SLOWEST = 0.02


class MemoryStorage(Storage):
    """Each write takes a random time; a crash meanwhile loses it or not.

    :param disk: what is synced; the next storage after a crash gets it
    :param clock: measures the writes
    :param rng: draws their length
    """

    def __init__(self, disk: MemoryDisk, clock: Clock, rng: random.Random):
        self._disk = disk
        self._clock = clock
        self._rng = rng
        self.fails = False
        self.crashed = False
        self._load()

    def _load(self) -> None:
        disk = self._disk
        self.term, self.vote = disk.term, disk.vote
        self.snapshot = disk.snapshot
        self.entries = list(disk.entries)

    async def renew(self) -> None:
        """Go back to what the disk holds."""
        await self._wait()
        self._load()

    async def _wait(self) -> None:
        if self.fails:
            raise OSError("no space left")
        await self._clock.sleep(self._rng.random() * SLOWEST)

    async def save_vote(self, term: int, vote: str) -> None:
        """Keep term and vote."""
        await self._wait()
        if not self.crashed:
            self._disk.term, self._disk.vote = term, vote
        self.term, self.vote = term, vote

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries; a crash before the sync loses them."""
        self.entries += entries

    def truncate(self, index: int) -> None:
        """Drop entries; a crash before the next sync brings them back."""
        del self.entries[index - self.first_index :]

    async def sync(self) -> None:
        """Keep the log as it is now."""
        entries = tuple(self.entries)
        await self._wait()
        if not self.crashed:
            self._disk.entries = entries

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep the snapshot and what stands behind it."""
        kept = [e for e in self.entries if e.index > snapshot.index]
        await self._wait()
        if not self.crashed:
            self._disk.snapshot = snapshot
            self._disk.entries = tuple(kept)
        self.snapshot, self.entries = snapshot, kept

    def close(self) -> None:
        """Nothing is held open."""
