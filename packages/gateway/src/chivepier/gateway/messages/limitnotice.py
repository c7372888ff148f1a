"""The LimitNotice message."""

from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.messages.registry import message


@message(176)
class LimitNotice:
    """Pushes rate limits that targets have set or removed."""

    records: tuple[LimitRecord, ...]
