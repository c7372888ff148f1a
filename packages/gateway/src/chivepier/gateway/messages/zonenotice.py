"""The ZoneNotice message."""

from chivepier.gateway.messages.zonerecord import ZoneRecord
from chivepier.messages.registry import message


@message(170)
class ZoneNotice:
    """Pushes the last order of each availability zone that ever had one."""

    records: tuple[ZoneRecord, ...]
