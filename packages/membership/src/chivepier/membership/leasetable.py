"""The leader's table of members' leases."""

from chivepier.membership.terms import LeaseTerms
from chivepier.messages import Member
from chivepier.types import Clock


class LeaseTable:
    """When each member was last heard, by the current leader.

    A new leader has heard nobody, so it counts every member's time from its
    own start.  So does one that was paused: it heard nobody because it did
    not listen, and would remove every member at once.
    """

    def __init__(self, clock: Clock, terms: LeaseTerms):
        self._clock = clock
        self._terms = terms
        self._checked = clock.monotonic()
        self._heard: dict[tuple[str, int], float] = {}

    def hear(self, member: Member) -> None:
        """Note a renewal.

        :param member: who renewed
        """
        key = (member.node, member.incarnation)
        self._heard[key] = self._clock.monotonic()

    def expired(self, members: list[Member]) -> list[Member]:
        """Return the members that have been silent for too long.

        :param members: the members by the replicated state
        :returns: those to be removed
        """
        now = self._clock.monotonic()
        if now - self._checked > self._terms.expiry / 2:
            self._heard.clear()
        self._checked = now
        live = {(m.node, m.incarnation): m for m in members}
        for key in self._heard.keys() - live.keys():
            del self._heard[key]
        # whoever is new here may have renewed before its join was committed
        for key in live:
            self._heard.setdefault(key, now)
        return [
            member
            for key, member in live.items()
            if now - self._heard[key] > self._terms.expiry
        ]
