"""The EntryBeatAnswer message."""

from chivepier.gateway.messages.clearancerecord import ClearanceRecord
from chivepier.gateway.messages.endingrecord import EndingRecord
from chivepier.gateway.messages.limitrecord import LimitRecord
from chivepier.gateway.messages.targetrecord import TargetRecord
from chivepier.gateway.messages.zonerecord import ZoneRecord
from chivepier.messages.registry import message


@message(153)
class EntryBeatAnswer:
    """What an entry lacks.

    ``voters`` are the peer addresses of the voters, empty where the entry has
    been told; ``entries`` is how many entries are alive, for shares of common
    budgets. ``heard`` names targets that said nothing new, but live. ``hears``
    is how many voters this one hears, ``group`` the first of these by
    address, itself included. ``endings`` and ``clearances`` are what it lacks
    of requests that end targets, up to the revision ``held``. ``orders`` are
    those about availability zones, empty where it has them all; ``presumed``
    names zones that may be evacuated by an order whose outcome this voter
    does not know yet. ``limits`` are the limits of targets that it lacks, up
    to the revision ``limits_held``.
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
