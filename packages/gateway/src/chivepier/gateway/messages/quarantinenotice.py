"""The QuarantineNotice message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.messages.registry import message


@message(168)
class QuarantineNotice:
    """Targets that ended under requests, and requests that were answered."""

    endings: tuple[EndingRecord, ...] = ()
    clearances: tuple[ClearanceRecord, ...] = ()
