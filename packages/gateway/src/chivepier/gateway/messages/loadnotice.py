"""The LoadNotice message."""

from chivepier.gateway.messages.loadrecord import LoadRecord
from chivepier.gateway.messages.queuerecord import QueueRecord
from chivepier.gateway.messages.repeatrecord import RepeatRecord
from chivepier.gateway.messages.targetreport import TargetReport
from chivepier.messages.registry import message


@message(161)
class LoadNotice:
    """Changed loads, queue lengths and retries of entries.

    ``reports`` are what targets newly reported of their own load.

    If ``whole`` is set, the notice replaces all earlier ones.
    """

    records: tuple[LoadRecord, ...]
    queues: tuple[QueueRecord, ...] = ()
    whole: bool = False
    repeats: tuple[RepeatRecord, ...] = ()
    reports: tuple[TargetReport, ...] = ()
