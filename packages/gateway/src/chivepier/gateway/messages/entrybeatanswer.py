"""The EntryBeatAnswer message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.gateway.messages.peerrecord import PeerRecord
from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.gateway.messages.versionrecord import VersionRecord
from chivepier.gateway.messages.zonerecord import ZoneRecord
from chivepier.messages.registry import message


@message(153)
class EntryBeatAnswer:
    """Answer to an :class:`EntryBeat`, with the changes the entry lacks.

    ``voters`` are the peer addresses of the voters, empty if the entry has
    received them; ``entries`` is the number of known entries, which share
    common budgets. ``records`` are changed targets, ``live_targets`` the names
    of unchanged ones heard since. ``zone`` is the voter's availability zone,
    ``reachable_voters`` the number of voters that it reaches and
    ``first_voter`` the lowest address of these, both including itself.
    ``endings`` and ``clearances`` are quarantine records up to the revision
    ``quarantine_revision``, and ``limits`` are rate limits up to the revision
    ``limits_revision``. ``orders`` are all zone orders, empty if none is new;
    ``presumed`` are zones that may be evacuated by an order whose outcome is
    unknown to the voter. ``peers`` are entries that requests can be forwarded
    to, with their revision ``peers_revision``, -1 if nothing has changed.
    ``keeps_origins`` tells that the voter understands :class:`OriginNotice`.
    ``is_current`` tells that the voter knows all that was committed a moment
    ago; voters of earlier releases don't tell. ``targets_known_for`` tells for
    how many seconds it has known all targets. ``past_versions`` are those of
    targets that it has forgotten, told to an entry that did not know it.
    """

    epoch: str
    revision: int
    version: int
    entries: int
    voters: tuple[str, ...]
    records: tuple[TargetRecord, ...]
    zone: str = ""
    reachable_voters: int = 0
    first_voter: str = ""
    live_targets: tuple[str, ...] = ()
    quarantine_revision: int = 0
    endings: tuple[EndingRecord, ...] = ()
    clearances: tuple[ClearanceRecord, ...] = ()
    orders: tuple[ZoneRecord, ...] = ()
    presumed: tuple[str, ...] = ()
    limits_revision: int = 0
    limits: tuple[LimitRecord, ...] = ()
    peers: tuple[PeerRecord, ...] = ()
    peers_revision: int = -1
    keeps_origins: bool = False
    targets_known_for: float = 0.0
    is_current: bool = True
    past_versions: tuple[VersionRecord, ...] = ()
