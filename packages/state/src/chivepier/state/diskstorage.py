"""Storage in a data folder."""

import os
import pathlib

import cbor2

from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.state.damagederror import DamagedError
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
    syncing the folder; only the log is appended to.

    :param folder: the voter's data folder; made when it is not there
    :raises DamagedError: when a file is damaged before its tail
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.term, self.vote = self._load_vote()
        self.snapshot = self._load_snapshot()
        self.entries = self._load_log()
        self._log = open(folder / LOG_FILE, "ab")

    def close(self) -> None:
        """Close the log file."""
        self._log.close()

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
            path.touch()
            sync_folder(self._folder)
            return []
        payloads, length = read_records(path.read_bytes(), LOG_FILE)
        if length != path.stat().st_size:
            os.truncate(path, length)
        entries: list[Entry] = []
        for payload in payloads:
            self._place(entries, decode(payload))
        return entries

    def _place(self, entries: list[Entry], entry: Entry) -> None:
        # a later record with a lower index is a leader's overwrite
        keep = entry.index - self.first_index
        if keep < 0:
            return
        if keep > len(entries):
            raise DamagedError(f"log: gap before index {entry.index}")
        del entries[keep:]
        entries.append(entry)

    def save_vote(self, term: int, vote: str) -> None:
        """Replace the vote file."""
        self._replace(VOTE_FILE, cbor2.dumps((term, vote)))
        self.term, self.vote = term, vote

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Write entries at the end of the log file."""
        for entry in entries:
            self._log.write(pack_record(encode(entry)))
            self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop entries in memory; later records overwrite them on disk."""
        del self.entries[index - self.first_index :]

    def sync(self) -> None:
        """Flush and fdatasync the log file."""
        self._log.flush()
        os.fdatasync(self._log.fileno())

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot, then the log without what it covers."""
        fields = (snapshot.index, snapshot.term, snapshot.data)
        self._replace(SNAPSHOT_FILE, cbor2.dumps(fields))
        kept = [e for e in self.entries if e.index > snapshot.index]
        self.snapshot = snapshot
        self.entries = kept
        self._rewrite_log()

    def _rewrite_log(self) -> None:
        records = b"".join(pack_record(encode(e)) for e in self.entries)
        self._log.close()
        self._write_file(LOG_FILE, records)
        self._log = open(self._folder / LOG_FILE, "ab")

    def _replace(self, name: str, payload: bytes) -> None:
        self._write_file(name, pack_record(payload))

    def _write_file(self, name: str, data: bytes) -> None:
        write_synced(self._folder, name, data)


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
    sync_folder(folder)


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that a new name in it survives a crash.

    :param folder: an existing folder
    """
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
