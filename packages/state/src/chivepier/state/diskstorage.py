"""Storage in a data folder."""

import asyncio
import os
import pathlib

import attrs
import cbor2

from chivepier.messages import Entry
from chivepier.state.damagederror import DamagedError
from chivepier.state.files import write_all
from chivepier.state.files import write_parts_synced
from chivepier.state.files import write_synced
from chivepier.state.logfile import LogBase
from chivepier.state.logfile import pack_batch
from chivepier.state.logfile import pack_log
from chivepier.state.logfile import replay
from chivepier.state.records import pack_record
from chivepier.state.records import read_records
from chivepier.state.snapshot import Snapshot
from chivepier.state.storage import Storage

VOTE_FILE = "vote"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


@attrs.frozen
class _Contents:
    """What the files of a folder add up to."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list[Entry]


class DiskStorage(Storage):
    """Files under one folder; every reply waits until they are synced.

    Each file is replaced by writing a new one, syncing it, renaming it and
    syncing the folder; only the log is appended to.  Files are written in a
    thread, attributes are set in the loop after it.

    :param folder: the voter's data folder; made when it is not there
    :param used: an identity says that the folder is in use: a missing log
        was lost, and starting with an empty one could outvote what it held
    :raises DamagedError: when a file is damaged before its tail
    :raises OSError: when a file can't be read, or a new folder not be written
    """

    def __init__(self, folder: pathlib.Path, used: bool = False):
        self._folder = folder
        self._used = used
        folder.mkdir(parents=True, exist_ok=True)
        self._log: int | None = None
        contents = self._read()
        self._take(contents)
        try:
            self._write_vote_anew(contents.term, contents.vote)
            self._write_log_anew(contents)
        except OSError as error:
            if not used:
                raise
            self.refusal = error

    def close(self) -> None:
        """Close the log file."""
        handle, self._log = self._log, None
        if handle is not None:
            os.close(handle)

    async def renew(self) -> None:
        """Read the folder again, and write anew what was appended to."""
        self._take(await asyncio.to_thread(self._read_and_write_anew))
        self.refusal = None

    def _read_and_write_anew(self) -> _Contents:
        # the vote first: a long log is not read for a disk that still refuses
        self._write_vote_anew(*self._load_vote())
        contents = self._read()
        self._write_log_anew(contents)
        return contents

    def _take(self, contents: _Contents) -> None:
        self.term, self.vote = contents.term, contents.vote
        self.snapshot, self.entries = contents.snapshot, contents.entries
        self._unwritten: list[Entry] = []

    def _read(self) -> _Contents:
        term, vote = self._load_vote()
        snapshot = self._load_snapshot()
        entries = self._load_log(snapshot, self._used or term > 0)
        return _Contents(term, vote, snapshot, entries)

    def _write_vote_anew(self, term: int, vote: str) -> None:
        if term:
            self._write_vote(term, vote)

    def _write_log_anew(self, contents: _Contents) -> None:
        # after a sync that failed, or that was cut short by the end of the
        # process, the system may take pages for written that are not on the
        # disk; those of a new file it writes, with its name and earlier ones
        self.close()
        self._rewrite_log(contents.snapshot, contents.entries)
        self._open_log()

    def _open_log(self) -> None:
        path = self._folder / LOG_FILE
        self._log = os.open(path, os.O_WRONLY | os.O_APPEND)

    def _load_single(self, name: str) -> memoryview | None:
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

    def _load_log(self, snapshot: Snapshot, used: bool) -> list[Entry]:
        path = self._folder / LOG_FILE
        if not path.exists():
            if used or snapshot.index:
                # the log is made first, so it was there and got lost
                raise DamagedError("log: the file is missing")
            return []
        # a torn tail is left out, and the log written anew without it
        payloads, _ = read_records(path.read_bytes(), LOG_FILE)
        if not payloads:
            raise DamagedError("log: no intact record")
        return replay(payloads, snapshot)

    async def save_vote(self, term: int, vote: str) -> None:
        """Replace the vote file."""
        await asyncio.to_thread(self._write_vote, term, vote)
        self.term, self.vote = term, vote

    def _write_vote(self, term: int, vote: str) -> None:
        self._replace(VOTE_FILE, cbor2.dumps((term, vote)))

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
        write_all(self._log, pack_batch(batch))
        os.fdatasync(self._log)

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot, then the log without what it covers."""
        kept = [e for e in self.entries if e.index > snapshot.index]
        await asyncio.to_thread(self._write_snapshot, snapshot, kept)
        self.snapshot = snapshot
        self.entries = kept
        self._unwritten = []

    def _write_snapshot(self, snapshot: Snapshot, kept: list[Entry]) -> None:
        fields = (snapshot.index, snapshot.term, snapshot.data)
        self._replace(SNAPSHOT_FILE, cbor2.dumps(fields))
        self.close()
        self._rewrite_log(snapshot, kept)
        self._open_log()

    def _rewrite_log(self, snapshot: Snapshot, kept: list[Entry]) -> None:
        base = LogBase(snapshot.index, snapshot.term)
        write_parts_synced(self._folder, LOG_FILE, pack_log(base, kept))

    def _replace(self, name: str, payload: bytes) -> None:
        write_synced(self._folder, name, pack_record(payload))
