"""Selection of the voter that an entry follows."""

import collections.abc

from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.types import Clock

# Seconds for which another voter must rank higher before it is followed:
# voters detect a silent peer up to a beat apart.
SWITCH_DELAY_SECONDS = 0.7


class VoterSelector:
    """Selects the voter that sends an entry the loads of other entries.

    Voters exchange the loads of their entries. If the voters are partitioned,
    entries that follow different halves would each know half of the load,
    overload targets, and copy off a leaving target at the same time. So an
    entry prefers the voters that reach most others, then the group with the
    lowest address, and within it a voter in its own availability zone.

    :param zone: availability zone of the entry
    :param clock: source of monotonic time
    """

    def __init__(self, zone: str, clock: Clock):
        self._zone = zone
        self._clock = clock
        self._worse_since: float | None = None
        self.address: str | None = None

    def choose(self, alive: collections.abc.Mapping[str, VoterStatus]) -> bool:
        """Select the voter to follow after a change of their status.

        :param alive: status of the voters that answer, by address
        :returns: whether the followed voter has changed
        """
        if not alive:
            # keep the followed voter, which may recover: no other one answers
            return False
        best = min(alive, key=lambda address: self._rank(address, alive))
        if best == self.address:
            self._worse_since = None
            return False
        now = self._clock.monotonic()
        if self.address in alive:
            if self._worse_since is None:
                self._worse_since = now
            if now - self._worse_since < SWITCH_DELAY_SECONDS:
                return False
        self._worse_since = None
        self.address = best
        return True

    def _rank(
        self,
        address: str,
        alive: collections.abc.Mapping[str, VoterStatus],
    ) -> tuple[int, str, bool, str]:
        status = alive[address]
        is_remote = status.zone != self._zone
        return (
            -status.reachable_voters,
            status.first_voter,
            is_remote,
            address,
        )
