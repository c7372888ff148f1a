"""Conversion of rate limits to and from messages."""

import collections.abc

from chivepier.gateway.limits.versionedlimit import VersionedLimit
from chivepier.gateway.messages import LimitRecord

# Encodes "no limit" on the wire; rates are zero or more.
NO_LIMIT = -1.0


def pack_limits(
    limits: collections.abc.Iterable[VersionedLimit], now: float
) -> tuple[LimitRecord, ...]:
    """Convert limits to messages, with ages in place of times.

    :param limits: limits that this node knows
    :param now: current time in this node's monotonic seconds
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
    """Convert messages to limits, with times on this node's clock.

    :param records: messages from another node
    :param now: current time in this node's monotonic seconds
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
