"""Conversion of origins to messages and back."""

from chivepier.gateway.messages import OriginRecord
from chivepier.gateway.origins.origin import Origin
from chivepier.gateway.origins.originkey import OriginKey


def pack_origin(origin: Origin, now: float) -> OriginRecord:
    """Convert an origin to a message.

    :param origin: where a stream began
    :param now: this node's monotonic seconds
    """
    return OriginRecord(
        origin.key.team,
        origin.key.attempt,
        origin.service,
        origin.software_version,
        max(0.0, now - origin.noted_at),
        max(0.0, origin.expires_at - now),
    )


def unpack_origin(record: OriginRecord, now: float) -> Origin:
    """Convert a message to an origin.

    :param record: the message
    :param now: this node's monotonic seconds
    """
    return Origin(
        OriginKey(record.team, record.attempt),
        record.service,
        record.software_version,
        now - record.age,
        now + record.left,
    )
