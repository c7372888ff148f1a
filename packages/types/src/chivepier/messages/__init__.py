"""Typed messages between processes, and commands of the log."""

import importlib
import typing

if typing.TYPE_CHECKING:
    from chivepier.messages.adoptrequest import AdoptRequest
    from chivepier.messages.announceanswer import AnnounceAnswer
    from chivepier.messages.announcement import Announcement
    from chivepier.messages.appendanswer import AppendAnswer
    from chivepier.messages.appendrequest import AppendRequest
    from chivepier.messages.bootstrapanswer import BootstrapAnswer
    from chivepier.messages.bootstraprequest import BootstrapRequest
    from chivepier.messages.cancelreport import CancelReport
    from chivepier.messages.changecommand import ChangeCommand
    from chivepier.messages.changednotice import ChangedNotice
    from chivepier.messages.claimcommand import ClaimCommand
    from chivepier.messages.claimstate import ClaimState
    from chivepier.messages.codec import decode
    from chivepier.messages.codec import encode
    from chivepier.messages.codec import pack
    from chivepier.messages.codec import unpack
    from chivepier.messages.commandanswer import CommandAnswer
    from chivepier.messages.commandrequest import CommandRequest
    from chivepier.messages.confirmanswer import ConfirmAnswer
    from chivepier.messages.confirmrequest import ConfirmRequest
    from chivepier.messages.deathanswer import DeathAnswer
    from chivepier.messages.deathrequest import DeathRequest
    from chivepier.messages.deputyannouncement import DeputyAnnouncement
    from chivepier.messages.edit import Edit
    from chivepier.messages.enrolanswer import EnrolAnswer
    from chivepier.messages.enrolrequest import EnrolRequest
    from chivepier.messages.entry import Entry
    from chivepier.messages.freshanswer import FreshAnswer
    from chivepier.messages.freshrequest import FreshRequest
    from chivepier.messages.identityanswer import IdentityAnswer
    from chivepier.messages.identityrequest import IdentityRequest
    from chivepier.messages.inflightpermit import InflightPermit
    from chivepier.messages.inflightreport import InflightReport
    from chivepier.messages.inflightrequest import InflightRequest
    from chivepier.messages.inforcecommand import InForceCommand
    from chivepier.messages.joincommand import JoinCommand
    from chivepier.messages.leavecommand import LeaveCommand
    from chivepier.messages.loganswer import LogAnswer
    from chivepier.messages.logrequest import LogRequest
    from chivepier.messages.member import Member
    from chivepier.messages.noop import Noop
    from chivepier.messages.outcome import Outcome
    from chivepier.messages.outcomecommand import OutcomeCommand
    from chivepier.messages.permitanswer import PermitAnswer
    from chivepier.messages.permitoutcome import PermitOutcome
    from chivepier.messages.permitrequest import PermitRequest
    from chivepier.messages.progressreport import ProgressReport
    from chivepier.messages.registry import message
    from chivepier.messages.releasereport import ReleaseReport
    from chivepier.messages.renewanswer import RenewAnswer
    from chivepier.messages.renewrequest import RenewRequest
    from chivepier.messages.secretcommand import SecretCommand
    from chivepier.messages.snapshotanswer import SnapshotAnswer
    from chivepier.messages.snapshotrequest import SnapshotRequest
    from chivepier.messages.stoporder import StopOrder
    from chivepier.messages.syncanswer import SyncAnswer
    from chivepier.messages.syncrequest import SyncRequest
    from chivepier.messages.takeoveranswer import TakeoverAnswer
    from chivepier.messages.takeoverrequest import TakeoverRequest
    from chivepier.messages.targetload import TargetLoad
    from chivepier.messages.targetsanswer import TargetsAnswer
    from chivepier.messages.targetsrequest import TargetsRequest
    from chivepier.messages.usagereport import UsageReport
    from chivepier.messages.voteanswer import VoteAnswer
    from chivepier.messages.voter import Voter
    from chivepier.messages.voterequest import VoteRequest
    from chivepier.messages.votersanswer import VotersAnswer
    from chivepier.messages.voterscommand import VotersCommand
    from chivepier.messages.votersrequest import VotersRequest
    from chivepier.messages.voterstate import VoterState

__all__ = [
    "AdoptRequest",
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
    "ConfirmAnswer",
    "ConfirmRequest",
    "DeathAnswer",
    "DeathRequest",
    "DeputyAnnouncement",
    "Edit",
    "EnrolAnswer",
    "EnrolRequest",
    "Entry",
    "FreshAnswer",
    "FreshRequest",
    "IdentityAnswer",
    "IdentityRequest",
    "InflightPermit",
    "InflightReport",
    "InflightRequest",
    "InForceCommand",
    "JoinCommand",
    "LeaveCommand",
    "LogAnswer",
    "LogRequest",
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
    "TakeoverAnswer",
    "TakeoverRequest",
    "TargetLoad",
    "TargetsAnswer",
    "TargetsRequest",
    "UsageReport",
    "VoteAnswer",
    "Voter",
    "VoterState",
    "VotersAnswer",
    "VoteRequest",
    "VotersCommand",
    "VotersRequest",
    "decode",
    "encode",
    "message",
    "pack",
    "unpack",
]

# Modules of the names that don't stand in one of their own name.
MODULES = {
    "decode": "codec",
    "encode": "codec",
    "message": "registry",
    "pack": "codec",
    "unpack": "codec",
}


def __getattr__(name: str) -> typing.Any:
    """Import a name when it is first used.

    Each class takes a millisecond to be made, and no process uses all 70 of
    them: a restart was silent for 0.09 s of processor time longer, of 0.6.
    """
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module = MODULES.get(name, name.lower())
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value
