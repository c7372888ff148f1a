"""What a data folder holds after crashes, damage and failed writes."""

import asyncio
import errno
import os

import pytest

from chivepier.messages import Entry
from chivepier.state import DamagedError
from chivepier.state import DiskStorage
from chivepier.state import FolderLock
from chivepier.state.records import HEADER_SIZE
from chivepier.state.records import pack_record
from chivepier.state.records import read_records
from chivepier.state.snapshot import Snapshot


def entries(term: int, first: int, last: int) -> tuple[Entry, ...]:
    """Make entries of one term."""
    return tuple(
        Entry(term, i, b"%d:%d" % (term, i)) for i in range(first, last + 1)
    )


async def write(storage: DiskStorage, *batches: tuple[Entry, ...]) -> None:
    """Append batches, each with its own sync, overwriting what is there."""
    for batch in batches:
        if batch[0].index <= storage.last_index:
            storage.truncate(batch[0].index)
        storage.append(batch)
        await storage.sync()


def test_log_and_vote_survive_a_restart(tmp_path):
    async def play():
        storage = DiskStorage(tmp_path)
        await storage.save_vote(3, "a")
        await write(storage, entries(1, 1, 4), entries(2, 3, 5))
        again = DiskStorage(tmp_path, used=True)
        assert (again.term, again.vote) == (3, "a")
        assert again.entries == storage.entries

    asyncio.run(play())


def crash_between_snapshot_and_log(folder, snapshot: Snapshot, *batches):
    """Leave the new snapshot beside the log as it was before it."""

    async def play():
        storage = DiskStorage(folder)
        await write(storage, *batches)
        before = (folder / "log").read_bytes()
        await storage.save_snapshot(snapshot)
        storage.close()
        (folder / "log").write_bytes(before)

    asyncio.run(play())


def test_overwritten_entries_stay_dead_after_a_crash_during_a_snapshot(
    tmp_path,
):
    """A dead leader's entries 1 to 10 were overwritten from 5 on.

    The crash comes when the snapshot at 7 is saved and the log behind it is
    not yet rewritten.  Skipping all records below the snapshot brought 8 to
    10 back behind it; with a longer log this voter could then win against
    one that holds committed entries.
    """
    batches = entries(1, 1, 10), entries(2, 5, 7)
    crash_between_snapshot_and_log(tmp_path, Snapshot(7, 2, b"s"), *batches)
    storage = DiskStorage(tmp_path)
    assert storage.last_index == 7
    assert storage.last_term == 2


def test_entries_of_another_leader_are_dropped_behind_its_snapshot(tmp_path):
    batches = (entries(1, 1, 10),)
    crash_between_snapshot_and_log(tmp_path, Snapshot(7, 2, b"s"), *batches)
    assert DiskStorage(tmp_path).last_index == 7


def test_log_goes_on_after_a_crash_during_a_snapshot(tmp_path):
    async def play():
        storage = DiskStorage(tmp_path)
        await write(storage, entries(2, 6, 8))
        assert DiskStorage(tmp_path).last_index == 8

    snapshot = Snapshot(5, 2, b"s")
    crash_between_snapshot_and_log(tmp_path, snapshot, entries(1, 1, 3))
    asyncio.run(play())


@pytest.mark.parametrize("kept", range(0, 60, 7))
def test_torn_tail_is_cut_wherever_it_was_torn(tmp_path, kept):
    async def play():
        storage = DiskStorage(tmp_path)
        await write(storage, entries(1, 1, 3))
        whole = (tmp_path / "log").stat().st_size
        await write(storage, entries(1, 4, 9))
        os.truncate(tmp_path / "log", whole + kept)
        again = DiskStorage(tmp_path)
        assert again.last_index == 3
        await write(again, entries(2, 4, 4))
        assert DiskStorage(tmp_path).last_index == 4

    asyncio.run(play())


def test_zeros_at_the_end_are_a_torn_tail():
    data = pack_record(b"one")
    assert read_records(data + bytes(100), "log") == ([b"one"], len(data))


@pytest.mark.parametrize("position", range(HEADER_SIZE + 3))
def test_any_damaged_byte_before_the_tail_is_found(position):
    """One byte of the first of two records is damaged.

    A damaged length pointed beyond the file's end and passed for a torn
    tail, so that the committed record behind it was cut without a word.
    """
    data = bytearray(pack_record(b"one") + pack_record(b"two"))
    data[position] ^= 0x80
    with pytest.raises(DamagedError):
        read_records(bytes(data), "log")


def test_lost_log_in_a_used_folder_is_damage(tmp_path):
    with pytest.raises(DamagedError):
        DiskStorage(tmp_path, used=True)


def test_failed_sync_is_an_error(tmp_path, monkeypatch):
    def fail(handle):
        raise OSError(errno.ENOSPC, "no space left")

    async def play():
        storage = DiskStorage(tmp_path)
        monkeypatch.setattr(os, "fdatasync", fail)
        with pytest.raises(OSError):
            await write(storage, entries(1, 1, 1))

    asyncio.run(play())


def test_readers_never_meet_half_a_snapshot(tmp_path):
    """A leader reads its log for a peer while the snapshot is written."""

    async def play():
        storage = DiskStorage(tmp_path)
        await write(storage, entries(1, 1, 9))
        saving = asyncio.create_task(
            storage.save_snapshot(Snapshot(6, 1, bytes(1 << 22)))
        )
        while not saving.done():
            (entry,) = storage.read(8, 1)
            assert entry.index == 8
            await asyncio.sleep(0)
        assert storage.first_index == 7

    asyncio.run(play())


def test_second_process_is_kept_off_a_folder(tmp_path):
    with FolderLock(tmp_path):
        with pytest.raises(BlockingIOError):
            FolderLock(tmp_path).__enter__()
    with FolderLock(tmp_path):
        pass
