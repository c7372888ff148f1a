"""The log's file: which entries a sequence of records adds up to."""

import collections.abc

import attrs
import cbor2

from chivepier.messages import Entry
from chivepier.state.damagederror import DamagedError
from chivepier.state.records import pack_record
from chivepier.state.snapshot import Snapshot

PART_BYTES = 1 << 20


@attrs.frozen
class LogBase:
    """Index and term of the entry before the file's first one."""

    index: int = 0
    term: int = 0


def pack_base(base: LogBase) -> bytes:
    """Build the file's first record.

    :param base: what the file follows
    :returns: a record
    """
    return pack_record(cbor2.dumps((base.index, base.term)))


def pack_batch(entries: tuple[Entry, ...]) -> bytes:
    """Build the record of entries that are synced together.

    One record a sync: pages of one write reach a disk in any order, and of
    several records the first could be torn while a later one is intact,
    which reads as damage.

    :param entries: the batch
    :returns: a record
    """
    plain = [(e.term, e.index, e.command) for e in entries]
    return pack_record(cbor2.dumps(plain))


def pack_log(
    base: LogBase, entries: list[Entry]
) -> collections.abc.Iterator[bytes]:
    """Build a whole file, in parts of about ``PART_BYTES``.

    It gets its name once it is synced, so it may have several records.  In
    one piece it would take the memory of the log once more.

    :param base: what the file follows
    :param entries: its entries
    :returns: records
    """
    yield pack_base(base)
    part: list[Entry] = []
    size = 0
    for entry in entries:
        part.append(entry)
        size += len(entry.command)
        if size >= PART_BYTES:
            yield pack_batch(tuple(part))
            part, size = [], 0
    if part:
        yield pack_batch(tuple(part))


def replay(payloads: list[memoryview], snapshot: Snapshot) -> list[Entry]:
    """Work out the entries after a snapshot.

    The file is replayed from its own base, not from the snapshot: a record
    below the snapshot may have overwritten entries above it, and a crash
    between saving the snapshot and rewriting the log leaves both.

    :param payloads: the file's records
    :param snapshot: the voter's snapshot
    :returns: entries from the snapshot's next index on
    :raises DamagedError: when records or snapshot don't fit together
    """
    base = LogBase(*cbor2.loads(payloads[0]))
    entries: list[Entry] = []
    for payload in payloads[1:]:
        for fields in cbor2.loads(payload):
            _place(entries, base, Entry(*fields))
    return _cut(entries, base, snapshot)


def _place(entries: list[Entry], base: LogBase, entry: Entry) -> None:
    # a later record with a lower index is a leader's overwrite
    position = entry.index - base.index - 1
    if not 0 <= position <= len(entries):
        raise DamagedError(f"log: no place for index {entry.index}")
    del entries[position:]
    entries.append(entry)


def _cut(
    entries: list[Entry], base: LogBase, snapshot: Snapshot
) -> list[Entry]:
    covered = snapshot.index - base.index
    if covered < 0:
        raise DamagedError("log: begins after the snapshot's end")
    if covered == 0:
        return entries
    if covered > len(entries) or entries[covered - 1].term != snapshot.term:
        # the snapshot came from a leader whose log went another way; what
        # stands behind it here was never committed
        return []
    return entries[covered:]
