"""The LimitNotice message."""

from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.messages.registry import message


@message(176)
class LimitNotice:
    """Limits that targets have named, or name no more."""

    records: tuple[LimitRecord, ...]
