"""How far an entry and one voter have told each other."""

import asyncio

import attrs

from chivepier.gateway.following.limitsyncstate import LimitSyncState
from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.gateway.messages import LeavingRecord


@attrs.define
class VoterLink:
    """One voter, as an entry follows it.

    :param task: that speaks to it
    :param epoch: which start of the voter this is about
    :param revision: of its targets, up to which this entry has all
    :param held: the same of its quarantine
    :param confirmed: what of this entry's quarantine it has
    :param limits: how far limits were told
    :param leavers: targets that leave, of which it was told
    :param alive: whether it answered last
    :param standing: what it says of itself
    """

    task: asyncio.Task | None = None
    epoch: str = ""
    targets_revision: int = 0
    quarantine_revision: int = 0
    quarantine_confirmed: int | None = None
    limits: LimitSyncState = attrs.field(factory=LimitSyncState)
    confirmed_leavers: frozenset[LeavingRecord] = frozenset()
    alive: bool = False
    status: VoterStatus = VoterStatus()
