"""What a voter's folder holds after kills and losses of power."""

import asyncio
import os
import random

import pytest

from chivepier.state import DiskStorage
from chivepier.state.snapshot import Snapshot
from chivepier.state.testing.poweredfolder import PoweredFolder
from chivepier.state.tests.test_diskstorage import entries
from chivepier.state.tests.test_diskstorage import write

SEEDS = range(20)


class KilledError(Exception):
    """The process was killed in the middle of a write."""


async def kill_at(monkeypatch, name: str, work) -> None:
    """Run a write, and end it as a call of the system begins."""

    def die(*arguments):
        raise KilledError

    with monkeypatch.context() as patch:
        patch.setattr(os, name, die)
        with pytest.raises(KilledError):
            await work


def look(folder) -> tuple:
    """Start a voter, and return what it answers for."""
    storage = DiskStorage(folder, used=True)
    storage.close()
    return storage.term, storage.vote, storage.entries


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_read_at_a_start_outlive_a_loss_of_power(
    tmp_path, monkeypatch, seed
):
    # Guards against a voter that answers for entries of a process that was
    # killed before their sync, and forgets them with the power.
    async def play():
        path = tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            storage = DiskStorage(path)
            await write(storage, entries(1, 1, 4))
            storage.append(entries(1, 5, 6))
            await kill_at(monkeypatch, "fdatasync", storage.sync())
            before = look(path)
            assert len(before[2]) == 6
            folder.lose_power(random.Random(seed))
            assert look(path) == before

    asyncio.run(play())


@pytest.mark.parametrize("seed", SEEDS)
def test_vote_read_at_a_start_outlives_a_loss_of_power(
    tmp_path, monkeypatch, seed
):
    # Guards against a vote that is forgotten, and given twice in a term.
    async def play():
        path = tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            storage = DiskStorage(path)
            await storage.save_vote(3, "a")
            # the file has its new name, and the folder is not synced
            await kill_at(monkeypatch, "open", storage.save_vote(4, "b"))
            before = look(path)
            assert before[:2] == (4, "b")
            folder.lose_power(random.Random(seed))
            assert look(path) == before

    asyncio.run(play())


@pytest.mark.parametrize("seed", SEEDS)
def test_all_that_was_answered_for_outlives_a_loss_of_power(tmp_path, seed):
    # Guards against a file or a name that is taken for synced too soon.
    async def play():
        path = tmp_path / "data"
        with PoweredFolder(path, tmp_path / "shadow") as folder:
            storage = DiskStorage(path)
            await storage.save_vote(1, "a")
            await write(storage, entries(1, 1, 4), entries(2, 3, 5))
            await storage.save_snapshot(Snapshot(4, 2, b"state"))
            await storage.save_vote(2, "")
            await write(storage, entries(2, 6, 7))
            storage.append(entries(2, 8, 9))
            kept = (storage.term, storage.vote, storage.entries[:3])
            storage.close()
            folder.lose_power(random.Random(seed))
            assert look(path) == kept

    asyncio.run(play())
