"""Which voter an entry follows."""

import collections.abc

from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.types import Clock

# Seconds for which another voter must have stood better: voters notice one
# that falls silent up to a beat after each other.
SWITCH_DELAY_SECONDS = 0.7


class VoterSelector:
    """Picks the voter that tells an entry what runs at the others.

    Voters tell each other what their entries run. Where voters are cut from
    each other, entries that follow different halves would know of half of
    what runs, fill targets twice, and copy off a leaving one at the same
    time. So an entry goes to the voters that hear most others, and where two
    halves are of a size, to that of the lowest address; within them to the
    one in its own availability zone.

    :param zone: the entry's availability zone
    :param clock: monotonic time
    """

    def __init__(self, zone: str, clock: Clock):
        self._zone = zone
        self._clock = clock
        self._worse_since: float | None = None
        self.address: str | None = None

    def choose(self, alive: collections.abc.Mapping[str, VoterStatus]) -> bool:
        """Look again, now that something is known anew.

        :param alive: the voters that answer, by address
        :returns: whether another one is followed now
        """
        if not alive:
            # what was followed may come back; nobody else can tell more
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
