"""The LoadDigest message."""

from chivepier.gateway.messages.loadrecord import LoadRecord
from chivepier.gateway.messages.queuerecord import QueueRecord
from chivepier.gateway.messages.repeatrecord import RepeatRecord
from chivepier.gateway.messages.targetreport import TargetReport
from chivepier.messages.registry import message


@message(164)
class LoadDigest:
    """Aggregated loads of the followers of one voter.

    Records under the voter's own name are sums over its followers; those under
    an entry's name only contain the entry's turn to copy KV memory off a
    leaving target. If ``whole`` is set, the digest replaces all earlier ones.
    """

    voter: str
    whole: bool
    records: tuple[LoadRecord, ...]
    queues: tuple[QueueRecord, ...]
    repeats: tuple[RepeatRecord, ...] = ()
    reports: tuple[TargetReport, ...] = ()
