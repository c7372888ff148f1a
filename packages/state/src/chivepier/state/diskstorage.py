"""Storage in a data folder."""

import asyncio
import os
import pathlib

import cbor2

from chivepier.messages import Entry
from chivepier.state.damagederror import DamagedError
from chivepier.state.logfile import LogBase
from chivepier.state.logfile import pack_base
from chivepier.state.logfile import pack_batch
from chivepier.state.logfile import replay
from chivepier.state.records import pack_record
from chivepier.state.records import read_records
from chivepier.state.snapshot import Snapshot
from chivepier.state.storage import Storage

VOTE_FILE = "vote"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


class DiskStorage(Storage):
    """Files under one folder; every reply waits until they are synced.

    Each file is replaced by writing a new one, syncing it, renaming it and
    syncing the folder; only the log is appended to.  Files are written in a
    thread, attributes are set in the loop after it.

    :param folder: the voter's data folder; made when it is not there
    :param used: an identity says that the folder is in use: a missing log
        was lost, and starting with an empty one could outvote what it held
    :raises DamagedError: when a file is damaged before its tail
    """

    def __init__(self, folder: pathlib.Path, used: bool = False):
        self._folder = folder
        self._used = used
        folder.mkdir(parents=True, exist_ok=True)
        self._unwritten: list[Entry] = []
        self.term, self.vote = self._load_vote()
        self.snapshot = self._load_snapshot()
        self.entries = self._load_log()
        self._sync_loaded()
        self._log = open(folder / LOG_FILE, "ab")

    def close(self) -> None:
        """Close the log file."""
        self._log.close()

    def _sync_loaded(self) -> None:
        # a process that was killed leaves what it wrote, synced or not; this
        # voter answers for it from now on, and power may be lost next
        for name in (VOTE_FILE, SNAPSHOT_FILE, LOG_FILE):
            if (self._folder / name).exists():
                sync_path(self._folder / name)
        sync_path(self._folder)

    def _load_single(self, name: str) -> bytes | None:
        path = self._folder / name
        if not path.exists():
            return None
        payloads, length = read_records(path.read_bytes(), name)
        if len(payloads) != 1 or length != path.stat().st_size:
            # replaced by rename only, so a torn one can't be a crash's work
            raise DamagedError(f"{name}: not one intact record")
        return payloads[0]

    def _load_vote(self) -> tuple[int, str]:
        payload = self._load_single(VOTE_FILE)
        if payload is None:
            return 0, ""
        term, vote = cbor2.loads(payload)
        return term, vote

    def _load_snapshot(self) -> Snapshot:
        payload = self._load_single(SNAPSHOT_FILE)
        if payload is None:
            return Snapshot()
        return Snapshot(*cbor2.loads(payload))

    def _load_log(self) -> list[Entry]:
        path = self._folder / LOG_FILE
        if not path.exists():
            if self._used or self.snapshot.index or self.term:
                # the log is made first, so it was there and got lost
                raise DamagedError("log: the file is missing")
            self._rewrite_log(self.snapshot, ())
            return []
        payloads, length = read_records(path.read_bytes(), LOG_FILE)
        if not payloads:
            raise DamagedError("log: no intact record")
        entries = replay(payloads, self.snapshot)
        if length != path.stat().st_size:
            os.truncate(path, length)
        base = LogBase(self.snapshot.index, self.snapshot.term)
        if payloads[0] != cbor2.dumps((base.index, base.term)):
            # a crash came between the snapshot and the log behind it
            self._rewrite_log(self.snapshot, tuple(entries))
        return entries

    async def save_vote(self, term: int, vote: str) -> None:
        """Replace the vote file."""
        payload = cbor2.dumps((term, vote))
        await asyncio.to_thread(self._replace, VOTE_FILE, payload)
        self.term, self.vote = term, vote

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries; :meth:`sync` writes them."""
        self._unwritten += entries
        self.entries += entries

    def truncate(self, index: int) -> None:
        """Drop entries in memory; later records overwrite them on disk."""
        del self.entries[index - self.first_index :]

    async def sync(self) -> None:
        """Write what was appended as one record, and fdatasync the log."""
        batch, self._unwritten = tuple(self._unwritten), []
        if batch:
            await asyncio.to_thread(self._write_batch, batch)

    def _write_batch(self, batch: tuple[Entry, ...]) -> None:
        self._log.write(pack_batch(batch))
        self._log.flush()
        os.fdatasync(self._log.fileno())

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot, then the log without what it covers."""
        kept = [e for e in self.entries if e.index > snapshot.index]
        await asyncio.to_thread(self._write_snapshot, snapshot, tuple(kept))
        self.snapshot = snapshot
        self.entries = kept
        self._unwritten = []

    def _write_snapshot(
        self, snapshot: Snapshot, kept: tuple[Entry, ...]
    ) -> None:
        fields = (snapshot.index, snapshot.term, snapshot.data)
        self._replace(SNAPSHOT_FILE, cbor2.dumps(fields))
        self._log.close()
        self._rewrite_log(snapshot, kept)
        self._log = open(self._folder / LOG_FILE, "ab")

    def _rewrite_log(
        self, snapshot: Snapshot, kept: tuple[Entry, ...]
    ) -> None:
        data = pack_base(LogBase(snapshot.index, snapshot.term))
        if kept:
            data += pack_batch(kept)
        write_synced(self._folder, LOG_FILE, data)

    def _replace(self, name: str, payload: bytes) -> None:
        write_synced(self._folder, name, pack_record(payload))


def write_synced(folder: pathlib.Path, name: str, data: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new one.

    :param folder: where it lives
    :param name: its name
    :param data: its new content
    """
    fresh = folder / f"{name}.new"
    with open(fresh, "wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(fresh, folder / name)
    sync_path(folder)


def sync_path(path: pathlib.Path) -> None:
    """Sync a file, or a folder so that a new name in it survives a crash.

    :param path: an existing file or folder
    """
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
