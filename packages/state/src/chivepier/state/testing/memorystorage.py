"""Storage in memory that loses what was not synced."""

import errno
import random
import typing

from chivepier.messages import Entry
from chivepier.state.snapshot import Snapshot
from chivepier.state.storage import Storage
from chivepier.state.testing.memorydisk import MemoryDisk
from chivepier.types import Clock

SLOWEST = 0.02


class MemoryStorage(Storage):
    """Each write takes a random time; a crash meanwhile loses it or not.

    What a disk refuses may be found on it all the same.

    :param disk: what is synced; the next storage after a crash gets it
    :param clock: measures the writes
    :param rng: draws their length
    """

    def __init__(self, disk: MemoryDisk, clock: Clock, rng: random.Random):
        self._disk = disk
        self._clock = clock
        self._rng = rng
        self.crashed = False
        self._load()
        if disk.refuses:
            self.refusal = make_refusal()

    @property
    def fails(self) -> bool:
        """Whether the disk refuses writes."""
        return self._disk.refuses

    @fails.setter
    def fails(self, refuses: bool) -> None:
        self._disk.refuses = refuses

    def _load(self) -> None:
        disk = self._disk
        self.term, self.vote = disk.term, disk.vote
        self.snapshot = disk.snapshot
        self.entries = list(disk.entries)

    async def renew(self) -> None:
        """Go back to what the disk holds."""
        await self._write()
        self._load()
        self.refusal = None

    async def _write(self, **changes: typing.Any) -> None:
        refused = self.fails
        if not refused:
            await self._clock.sleep(self._rng.random() * SLOWEST)
        if not self.crashed and not (refused and self._rng.random() < 0.5):
            for name, value in changes.items():
                setattr(self._disk, name, value)
        if refused:
            raise make_refusal()

    async def save_vote(self, term: int, vote: str) -> None:
        """Keep term and vote."""
        await self._write(term=term, vote=vote)
        self.term, self.vote = term, vote

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries; a crash before the sync loses them."""
        self.entries += entries

    def truncate(self, index: int) -> None:
        """Drop entries; a crash before the next sync brings them back."""
        del self.entries[index - self.first_index :]

    async def sync(self) -> None:
        """Keep the log as it is now."""
        await self._write(entries=tuple(self.entries))

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep the snapshot and what stands behind it."""
        kept = [e for e in self.entries if e.index > snapshot.index]
        await self._write(snapshot=snapshot, entries=tuple(kept))
        self.snapshot, self.entries = snapshot, kept

    def close(self) -> None:
        """Nothing is held open."""


def make_refusal() -> OSError:
    """Make the error of a full disk."""
    return OSError(errno.ENOSPC, "no space left")
