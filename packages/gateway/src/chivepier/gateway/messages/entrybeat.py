"""The EntryBeat message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.leavingrecord import LeavingRecord
from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.messages.registry import message


@message(152)
class EntryBeat:
    """Heartbeat of an entry to a voter, with the state that it has received.

    ``ready`` is set while callers may connect, and ``version`` is that of
    its configuration. ``revision`` is the last revision of the voter's targets
    that the entry has received, and ``epoch`` the run of the voter that it
    belongs to. ``follows`` is set for the voter that sends the entry loads of
    other entries and names of live targets. ``quarantine_revision`` and
    ``limits_revision`` are the last received revisions of quarantine records
    and rate limits. ``endings``, ``clearances`` and ``limits`` are the entry's
    own observations that the voter has not acknowledged yet. ``orders`` is the
    log index up to which the entry has all zone orders. ``leaving`` are the
    targets that told the entry in a response that they are leaving.
    ``millicores``, ``memory_mb``, ``link_kbps`` and ``descriptors`` are what
    its instance can do, 0 if unknown. ``busy_percent`` is the largest used
    share of its processor and memory, and ``rotation`` counts its rotations
    in the answers to callers. ``peer_address`` is where other entries reach
    it, empty if they can't, ``unreachable`` the services whose targets it does
    not reach, and ``peers_revision`` the last received revision of its peers.
    """

    node: str
    address: str
    zone: str
    ready: bool
    version: int
    epoch: str
    revision: int
    follows: bool = False
    quarantine_revision: int = 0
    endings: tuple[EndingRecord, ...] = ()
    clearances: tuple[ClearanceRecord, ...] = ()
    orders: int = -1
    limits_revision: int = 0
    limits: tuple[LimitRecord, ...] = ()
    leaving: tuple[LeavingRecord, ...] = ()
    millicores: int = 0
    memory_mb: int = 0
    link_kbps: int = 0
    descriptors: int = 0
    busy_percent: int = 0
    rotation: int = 0
    peer_address: str = ""
    unreachable: tuple[str, ...] = ()
    peers_revision: int = -1
