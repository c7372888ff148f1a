"""Loads and queues at one moment, and how two moments differ."""

import attrs

from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord


@attrs.define
class LoadState:
    """Records by whom and what they are about.

    :param records: by entry and instance
    :param queues: by entry, service and rank
    """

    records: dict[tuple[str, str], LoadRecord] = attrs.field(factory=dict)
    queues: dict[tuple[str, str, int], QueueRecord] = attrs.field(factory=dict)

    def put(
        self,
        records: tuple[LoadRecord, ...],
        queues: tuple[QueueRecord, ...],
    ) -> None:
        """Take records over those that are held."""
        for record in records:
            self.records[(record.entry, record.instance)] = record
        for queue in queues:
            self.queues[(queue.entry, queue.service, queue.rank)] = queue

    def add(self, other: "LoadState") -> None:
        """Take all that another state holds."""
        self.records.update(other.records)
        self.queues.update(other.queues)

    def pack(self) -> tuple[tuple[LoadRecord, ...], tuple[QueueRecord, ...]]:
        """Return all records, for a message."""
        return tuple(self.records.values()), tuple(self.queues.values())

    def find_changes(
        self, told: "LoadState"
    ) -> tuple[tuple[LoadRecord, ...], tuple[QueueRecord, ...]]:
        """Return what differs from what was told; what has ended, as none.

        :param told: what the hearer holds
        """
        records = [
            record
            for key, record in self.records.items()
            if told.records.get(key) != record
        ]
        records += [
            LoadRecord(*key, 0, 0, 0, 0)
            for key in told.records.keys() - self.records.keys()
        ]
        queues = [
            queue
            for key, queue in self.queues.items()
            if told.queues.get(key) != queue
        ]
        queues += [
            QueueRecord(*key, 0)
            for key in told.queues.keys() - self.queues.keys()
        ]
        return tuple(records), tuple(queues)
