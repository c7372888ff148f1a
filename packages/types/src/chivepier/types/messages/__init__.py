"""Typed messages between processes, and commands of the log."""

from chivepier.types.messages.announceanswer import AnnounceAnswer
from chivepier.types.messages.announcement import Announcement
from chivepier.types.messages.appendanswer import AppendAnswer
from chivepier.types.messages.appendrequest import AppendRequest
from chivepier.types.messages.bootstrapanswer import BootstrapAnswer
from chivepier.types.messages.bootstraprequest import BootstrapRequest
from chivepier.types.messages.cancelreport import CancelReport
from chivepier.types.messages.changecommand import ChangeCommand
from chivepier.types.messages.changednotice import ChangedNotice
from chivepier.types.messages.claimcommand import ClaimCommand
from chivepier.types.messages.claimstate import ClaimState
from chivepier.types.messages.codec import decode
from chivepier.types.messages.codec import encode
from chivepier.types.messages.codec import pack
from chivepier.types.messages.codec import unpack
from chivepier.types.messages.commandanswer import CommandAnswer
from chivepier.types.messages.commandrequest import CommandRequest
from chivepier.types.messages.edit import Edit
from chivepier.types.messages.entry import Entry
from chivepier.types.messages.freshanswer import FreshAnswer
from chivepier.types.messages.freshrequest import FreshRequest
from chivepier.types.messages.identityanswer import IdentityAnswer
from chivepier.types.messages.identityrequest import IdentityRequest
from chivepier.types.messages.inflightpermit import InflightPermit
from chivepier.types.messages.inflightreport import InflightReport
from chivepier.types.messages.inflightrequest import InflightRequest
from chivepier.types.messages.joincommand import JoinCommand
from chivepier.types.messages.leavecommand import LeaveCommand
from chivepier.types.messages.member import Member
from chivepier.types.messages.noop import Noop
from chivepier.types.messages.outcome import Outcome
from chivepier.types.messages.outcomecommand import OutcomeCommand
from chivepier.types.messages.permitanswer import PermitAnswer
from chivepier.types.messages.permitoutcome import PermitOutcome
from chivepier.types.messages.permitrequest import PermitRequest
from chivepier.types.messages.progressreport import ProgressReport
from chivepier.types.messages.registry import message
from chivepier.types.messages.releasereport import ReleaseReport
from chivepier.types.messages.renewanswer import RenewAnswer
from chivepier.types.messages.renewrequest import RenewRequest
from chivepier.types.messages.secretcommand import SecretCommand
from chivepier.types.messages.snapshotanswer import SnapshotAnswer
from chivepier.types.messages.snapshotrequest import SnapshotRequest
from chivepier.types.messages.stoporder import StopOrder
from chivepier.types.messages.syncanswer import SyncAnswer
from chivepier.types.messages.syncrequest import SyncRequest
from chivepier.types.messages.targetload import TargetLoad
from chivepier.types.messages.targetsanswer import TargetsAnswer
from chivepier.types.messages.targetsrequest import TargetsRequest
from chivepier.types.messages.usagereport import UsageReport
from chivepier.types.messages.voteanswer import VoteAnswer
from chivepier.types.messages.voter import Voter
from chivepier.types.messages.voterequest import VoteRequest
from chivepier.types.messages.voterscommand import VotersCommand

__all__ = [
    "AnnounceAnswer",
    "Announcement",
    "AppendAnswer",
    "AppendRequest",
    "BootstrapAnswer",
    "BootstrapRequest",
    "CancelReport",
    "ChangeCommand",
    "ChangedNotice",
    "ClaimCommand",
    "ClaimState",
    "CommandAnswer",
    "CommandRequest",
    "Edit",
    "Entry",
    "FreshAnswer",
    "FreshRequest",
    "IdentityAnswer",
    "IdentityRequest",
    "InflightPermit",
    "InflightReport",
    "InflightRequest",
    "JoinCommand",
    "LeaveCommand",
    "Member",
    "Noop",
    "Outcome",
    "OutcomeCommand",
    "PermitAnswer",
    "PermitOutcome",
    "PermitRequest",
    "ProgressReport",
    "ReleaseReport",
    "RenewAnswer",
    "RenewRequest",
    "SecretCommand",
    "SnapshotAnswer",
    "SnapshotRequest",
    "StopOrder",
    "SyncAnswer",
    "SyncRequest",
    "TargetLoad",
    "TargetsAnswer",
    "TargetsRequest",
    "UsageReport",
    "VoteAnswer",
    "VoteRequest",
    "Voter",
    "VotersCommand",
    "decode",
    "encode",
    "message",
    "pack",
    "unpack",
]
