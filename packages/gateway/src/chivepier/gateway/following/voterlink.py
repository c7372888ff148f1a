"""The state of an entry's link to one voter."""

import asyncio
import math

import attrs

from chivepier.gateway.following.limitsyncstate import LimitSyncState
from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.gateway.messages import LeavingRecord


@attrs.define
class VoterLink:
    """Synchronization state of an entry with one voter.

    :param task: task that sends beats to the voter
    :param followed: whether the last answered beat followed the voter, which
        then lists the targets that it has heard
    :param epoch: identifies the run of the voter that this state belongs to
    :param targets_revision: revision of its targets up to which this entry
        has all changes
    :param quarantine_revision: the same for its quarantine
    :param quarantine_confirmed: number of this entry's quarantine records
        that the voter has; ``None`` if it may have none
    :param limits: synchronization state of the rate limits
    :param confirmed_leavers: leaving targets reported to the voter
    :param peers_revision: revision of the peers that it named, -1 if none
    :param keeps_origins: whether it keeps where streams began
    :param asked_at: when it was sent the newest beat that it has answered, in
        monotonic seconds
    :param knows_since: since when it has known all targets, in the same
    :param alive: whether it answered the last beat
    :param status: what it last reported about itself
    """

    task: asyncio.Task | None = None
    followed: bool = False
    epoch: str = ""
    targets_revision: int = 0
    quarantine_revision: int = 0
    quarantine_confirmed: int | None = None
    limits: LimitSyncState = attrs.field(factory=LimitSyncState)
    confirmed_leavers: frozenset[LeavingRecord] = frozenset()
    peers_revision: int = -1
    keeps_origins: bool = False
    asked_at: float = -math.inf
    knows_since: float = math.inf
    alive: bool = False
    status: VoterStatus = VoterStatus()
