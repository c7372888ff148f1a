"""Snapshots of loads, queues and retries, and differences between them."""

import collections.abc
import typing

import attrs

from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.messages import RepeatRecord

Records = tuple[LoadRecord, ...]
Queues = tuple[QueueRecord, ...]
Repeats = tuple[RepeatRecord, ...]
QueueKey = tuple[str, str, int, str]


@attrs.define
class LoadState:
    """A snapshot of load records.

    :param records: load records by entry and target
    :param queues: queue lengths by entry, service, rank and team
    :param repeats: used retries by entry and service
    """

    records: dict[tuple[str, str], LoadRecord] = attrs.field(factory=dict)
    queues: dict[QueueKey, QueueRecord] = attrs.field(factory=dict)
    repeats: dict[tuple[str, str], RepeatRecord] = attrs.field(factory=dict)

    def put(self, records: Records, queues: Queues, repeats: Repeats) -> None:
        """Insert records, replacing those with the same key."""
        for record in records:
            self.records[(record.entry, record.instance)] = record
        for queue in queues:
            self.queues[make_queue_key(queue)] = queue
        for repeat in repeats:
            self.repeats[(repeat.entry, repeat.service)] = repeat

    def add(self, other: "LoadState") -> None:
        """Insert all records of another snapshot."""
        self.records.update(other.records)
        self.queues.update(other.queues)
        self.repeats.update(other.repeats)

    def select(self, entry: str) -> "LoadState":
        """Return the records of one entry."""
        return LoadState(
            *(
                {key: value for key, value in part.items() if key[0] == entry}
                for part in (self.records, self.queues, self.repeats)
            )
        )

    def __bool__(self) -> bool:
        return bool(self.records or self.queues or self.repeats)

    def pack(self) -> tuple[Records, Queues, Repeats]:
        """Return all records as tuples, for a message."""
        return (
            tuple(self.records.values()),
            tuple(self.queues.values()),
            tuple(self.repeats.values()),
        )

    def find_changes(
        self, known: "LoadState"
    ) -> tuple[Records, Queues, Repeats]:
        """Return the changed records, and zero records for removed ones.

        :param known: the earlier snapshot to compare with
        """
        return (
            _compare(
                self.records,
                known.records,
                lambda key: LoadRecord(*key, 0, 0, 0, 0),
            ),
            _compare(self.queues, known.queues, make_empty_queue),
            _compare(
                self.repeats, known.repeats, lambda key: RepeatRecord(*key, 0)
            ),
        )


def make_queue_key(queue: QueueRecord) -> QueueKey:
    """Return the key of a queue record."""
    return (queue.entry, queue.service, queue.rank, queue.team)


def make_empty_queue(key: QueueKey) -> QueueRecord:
    """Return the record of a queue that is empty."""
    entry, service, rank, team = key
    return QueueRecord(entry, service, rank, 0, team=team)


def _compare(
    now: dict[tuple, typing.Any],
    known: dict[tuple, typing.Any],
    make_empty: collections.abc.Callable[[tuple], typing.Any],
) -> tuple:
    changed = [value for key, value in now.items() if known.get(key) != value]
    removed = [make_empty(key) for key in known.keys() - now.keys()]
    return (*changed, *removed)
