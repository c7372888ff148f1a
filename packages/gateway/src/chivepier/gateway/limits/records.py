"""Words about limits as messages."""

import collections.abc

from chivepier.gateway.limits.versionedlimit import VersionedLimit
from chivepier.gateway.messages import LimitRecord

# Stands for no limit on the wire; rates are zero or more.
NO_LIMIT = -1.0


def pack_limits(
    limits: collections.abc.Iterable[VersionedLimit], now: float
) -> tuple[LimitRecord, ...]:
    """Turn words into messages.

    :param words: as this node believes them
    :param now: this node's monotonic seconds
    """
    return tuple(
        LimitRecord(
            limit.instance,
            limit.born,
            limit.version,
            NO_LIMIT if limit.rate is None else limit.rate,
            limit.source,
            max(0.0, now - limit.seen),
        )
        for limit in limits
    )


def unpack_limits(
    records: collections.abc.Iterable[LimitRecord], now: float
) -> list[VersionedLimit]:
    """Build words of messages.

    :param records: of another node
    :param now: this node's monotonic seconds
    """
    return [
        VersionedLimit(
            instance=record.instance,
            born=record.born,
            version=record.version,
            rate=None if record.rate < 0 else record.rate,
            source=record.source,
            seen=now - record.age,
        )
        for record in records
    ]
