"""The owner's record of the permits of one shard."""

import collections.abc

from chivepier.node.permitrecord import PermitRecord


class PermitBook:
    """Permits by number, by request and by target."""

    def __init__(self) -> None:
        self._records: dict[int, PermitRecord] = {}
        self._requests: dict[str, int] = {}
        self._targets: dict[str, set[int]] = {}

    def __iter__(self) -> collections.abc.Iterator[PermitRecord]:
        return iter(list(self._records.values()))

    def __len__(self) -> int:
        return len(self._records)

    def get(self, permit: int) -> PermitRecord | None:
        """Return a permit's record, or ``None``."""
        return self._records.get(permit)

    def find(self, request: str) -> PermitRecord | None:
        """Return the record of a request's permit, or ``None``."""
        return self._records.get(self._requests.get(request, 0))

    def at(self, target: str) -> list[PermitRecord]:
        """Return the records of a target's permits."""
        permits = self._targets.get(target, ())
        return [self._records[permit] for permit in permits]

    def add(self, record: PermitRecord) -> None:
        """Write a permit down."""
        self._records[record.permit] = record
        self._requests[record.request] = record.permit
        self._targets.setdefault(record.target, set()).add(record.permit)

    def remove(self, permit: int) -> PermitRecord | None:
        """Strike a permit out.

        :param permit: its number
        :returns: what was written; ``None`` when it was struck out before
        """
        record = self._records.pop(permit, None)
        if record is None:
            return None
        if self._requests.get(record.request) == permit:
            del self._requests[record.request]
        left = self._targets[record.target]
        left.discard(permit)
        if not left:
            del self._targets[record.target]
        return record
