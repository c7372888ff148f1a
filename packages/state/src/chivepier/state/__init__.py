"""The replicated log and the state it adds up to."""

from chivepier.state.answer import Answer
from chivepier.state.busyleadererror import BusyLeaderError
from chivepier.state.claim import Claim
from chivepier.state.condition import Condition
from chivepier.state.damagederror import DamagedError
from chivepier.state.diskstorage import DiskStorage
from chivepier.state.folderlock import FolderLock
from chivepier.state.historyitem import HistoryItem
from chivepier.state.identity import Identity
from chivepier.state.identity import load_identity
from chivepier.state.identity import save_identity
from chivepier.state.lostleaderror import LostLeadError
from chivepier.state.machine import Machine
from chivepier.state.membersets import MemberSets
from chivepier.state.notleadererror import NotLeaderError
from chivepier.state.recententries import RecentEntries
from chivepier.state.replica import Replica
from chivepier.state.role import Role
from chivepier.state.snapshot import Snapshot
from chivepier.state.snapshotpolicy import SnapshotPolicy
from chivepier.state.statesizes import StateSizes
from chivepier.state.storage import Storage
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.state.tenure import MAX_COMMAND
from chivepier.state.timing import Timing
from chivepier.state.transport import Transport

__all__ = [
    "Answer",
    "BusyLeaderError",
    "Claim",
    "Condition",
    "MAX_COMMAND",
    "DamagedError",
    "DiskStorage",
    "FolderLock",
    "HistoryItem",
    "Identity",
    "LostLeadError",
    "Machine",
    "MemberSets",
    "NotLeaderError",
    "RecentEntries",
    "Replica",
    "Role",
    "Snapshot",
    "SnapshotPolicy",
    "StateSizes",
    "Storage",
    "StorageFailedError",
    "Timing",
    "Transport",
    "load_identity",
    "save_identity",
]
