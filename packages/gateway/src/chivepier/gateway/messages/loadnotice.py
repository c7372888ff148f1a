"""The LoadNotice message."""

from chivepier.gateway.messages.loadrecord import LoadRecord
from chivepier.messages.registry import message


@message(161)
class LoadNotice:
    """Loads that changed."""

    records: tuple[LoadRecord, ...]
