"""Conversion of evacuation orders to and from messages."""

from chivepier.gateway.messages import ZoneRecord
from chivepier.gateway.zones.zoneorder import ZoneOrder


def pack_order(order: ZoneOrder, now: float) -> ZoneRecord:
    """Convert an order to a message.

    :param order: the order
    :param now: current time in this node's monotonic seconds
    :returns: the message, with an age in place of the time
    """
    age = max(0.0, now - order.since)
    return ZoneRecord(order.zone, order.index, order.evacuated, age)


def unpack_order(record: ZoneRecord, now: float) -> ZoneOrder:
    """Convert a message to an order.

    :param record: the message
    :param now: current time in this node's monotonic seconds
    :returns: the order, with the time on this node's clock
    """
    return ZoneOrder(
        record.zone, record.index, record.evacuated, now - record.age
    )
