"""The QuarantineNotice message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.messages.registry import message


@message(168)
class QuarantineNotice:
    """Pushes quarantine records: ends of targets and cleared requests."""

    endings: tuple[EndingRecord, ...] = ()
    clearances: tuple[ClearanceRecord, ...] = ()
