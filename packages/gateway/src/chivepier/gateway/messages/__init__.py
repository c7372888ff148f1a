"""What entries and voters say to each other."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.configanswer import ConfigAnswer
from chivepier.gateway.messages.confignotice import ConfigNotice
from chivepier.gateway.messages.configrequest import ConfigRequest
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.entrybeat import EntryBeat
from chivepier.gateway.messages.entrybeatanswer import EntryBeatAnswer
from chivepier.gateway.messages.joinanswer import JoinAnswer
from chivepier.gateway.messages.joinrequest import JoinRequest
from chivepier.gateway.messages.loaddigest import LoadDigest
from chivepier.gateway.messages.loadnotice import LoadNotice
from chivepier.gateway.messages.loadrecord import LoadRecord
from chivepier.gateway.messages.quarantinenotice import QuarantineNotice
from chivepier.gateway.messages.queuerecord import QueueRecord
from chivepier.gateway.messages.repeatrecord import RepeatRecord
from chivepier.gateway.messages.targetnotice import TargetNotice
from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.gateway.messages.writeanswer import WriteAnswer
from chivepier.gateway.messages.writerequest import WriteRequest

__all__ = [
    "ClearanceRecord",
    "ConfigAnswer",
    "ConfigNotice",
    "ConfigRequest",
    "EndingRecord",
    "EntryBeat",
    "EntryBeatAnswer",
    "JoinAnswer",
    "JoinRequest",
    "LoadDigest",
    "LoadNotice",
    "LoadRecord",
    "QuarantineNotice",
    "QueueRecord",
    "RepeatRecord",
    "TargetNotice",
    "TargetRecord",
    "WriteAnswer",
    "WriteRequest",
]
