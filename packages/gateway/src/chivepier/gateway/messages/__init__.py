"""Messages exchanged between entries and voters."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.configanswer import ConfigAnswer
from chivepier.gateway.messages.confignotice import ConfigNotice
from chivepier.gateway.messages.configrequest import ConfigRequest
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.entrybeat import EntryBeat
from chivepier.gateway.messages.entrybeatanswer import EntryBeatAnswer
from chivepier.gateway.messages.forwardcancel import ForwardCancel
from chivepier.gateway.messages.forwardpart import ForwardPart
from chivepier.gateway.messages.forwardread import ForwardRead
from chivepier.gateway.messages.forwardrequest import ForwardRequest
from chivepier.gateway.messages.headerfield import HeaderField
from chivepier.gateway.messages.joinanswer import JoinAnswer
from chivepier.gateway.messages.joinrequest import JoinRequest
from chivepier.gateway.messages.leaveanswer import LeaveAnswer
from chivepier.gateway.messages.leaverequest import LeaveRequest
from chivepier.gateway.messages.leavingrecord import LeavingRecord
from chivepier.gateway.messages.limitnotice import LimitNotice
from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.gateway.messages.loaddigest import LoadDigest
from chivepier.gateway.messages.loadnotice import LoadNotice
from chivepier.gateway.messages.loadrecord import LoadRecord
from chivepier.gateway.messages.originanswer import OriginAnswer
from chivepier.gateway.messages.originnotice import OriginNotice
from chivepier.gateway.messages.originrecord import OriginRecord
from chivepier.gateway.messages.originrequest import OriginRequest
from chivepier.gateway.messages.peerrecord import PeerRecord
from chivepier.gateway.messages.permitanswer import PermitAnswer
from chivepier.gateway.messages.permitrequest import PermitRequest
from chivepier.gateway.messages.quarantinenotice import QuarantineNotice
from chivepier.gateway.messages.queuerecord import QueueRecord
from chivepier.gateway.messages.repeatrecord import RepeatRecord
from chivepier.gateway.messages.targetnotice import TargetNotice
from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.gateway.messages.targetreport import TargetReport
from chivepier.gateway.messages.versionrecord import VersionRecord
from chivepier.gateway.messages.writeanswer import WriteAnswer
from chivepier.gateway.messages.writerequest import WriteRequest
from chivepier.gateway.messages.zoneanswer import ZoneAnswer
from chivepier.gateway.messages.zonenotice import ZoneNotice
from chivepier.gateway.messages.zonerecord import ZoneRecord
from chivepier.gateway.messages.zonerequest import ZoneRequest

__all__ = [
    "ClearanceRecord",
    "ConfigAnswer",
    "ConfigNotice",
    "ConfigRequest",
    "EndingRecord",
    "EntryBeat",
    "EntryBeatAnswer",
    "ForwardCancel",
    "ForwardPart",
    "ForwardRead",
    "ForwardRequest",
    "HeaderField",
    "JoinAnswer",
    "JoinRequest",
    "LeaveAnswer",
    "LeaveRequest",
    "LeavingRecord",
    "LimitNotice",
    "LimitRecord",
    "LoadDigest",
    "LoadNotice",
    "LoadRecord",
    "PeerRecord",
    "PermitAnswer",
    "OriginAnswer",
    "OriginNotice",
    "OriginRecord",
    "OriginRequest",
    "PermitRequest",
    "QuarantineNotice",
    "QueueRecord",
    "RepeatRecord",
    "TargetNotice",
    "TargetRecord",
    "TargetReport",
    "VersionRecord",
    "WriteAnswer",
    "WriteRequest",
    "ZoneAnswer",
    "ZoneNotice",
    "ZoneRecord",
    "ZoneRequest",
]
