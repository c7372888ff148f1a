"""Orders about zones as messages."""

from chivepier.gateway.messages import ZoneRecord
from chivepier.gateway.zones.zoneorder import ZoneOrder


def pack_order(order: ZoneOrder, now: float) -> ZoneRecord:
    """Turn an order into a message.

    :param order: as this node knows it
    :param now: this node's monotonic seconds
    :returns: the message, with an age in place of the time
    """
    age = max(0.0, now - order.since)
    return ZoneRecord(order.zone, order.index, order.evacuated, age)


def unpack_order(record: ZoneRecord, now: float) -> ZoneOrder:
    """Build an order of a message.

    :param record: the message
    :param now: this node's monotonic seconds
    :returns: the order, with the time on this node's clock
    """
    return ZoneOrder(
        record.zone, record.index, record.evacuated, now - record.age
    )
