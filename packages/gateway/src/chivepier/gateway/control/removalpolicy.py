"""Which voters can go without lowering the fault tolerance."""

import collections.abc

import attrs

from chivepier.gateway.control.removal import Removal
from chivepier.gateway.control.removalreason import RemovalReason
from chivepier.gateway.control.voterhealth import VoterHealth

# With fewer voters, the loss of one leaves no quorum.
MIN_VOTERS = 3
# Seconds without an answer after which a spare voter is removed. With the
# longest election before it, less than a replacement has to catch up.
SPARE_TIMEOUT_SECONDS = 1.5
# Seconds after which other voters are removed if they are about to stop, or
# if another voter has joined since; a rolling restart takes less.
REPLACED_TIMEOUT_SECONDS = 4.0
# Seconds after which other voters are removed without a replacement.
UNREACHABLE_TIMEOUT_SECONDS = 20.0
# Seconds without an answer after which a voter counts as lost.
LOST_SECONDS = 1.0


@attrs.frozen
class RemovalPolicy:
    """Chooses the voter to be removed next.

    A vote of a voter that is gone for good makes the next lost disk one too
    many, and no later change can mend that. A vote taken from one that only
    restarts, or whose disk is stalled, must cost nothing either. So a voter
    goes soon where it is **spare**: the others bear as many lost disks
    without it. That is so for an even number, and for any number above what
    the tolerated losses need.

    :param tolerated: how many disks may be lost at the same time; ``None``
        for as many as the voters bear

    >>> from chivepier.messages import Voter
    >>> healths = [VoterHealth(voter=Voter(n, n)) for n in "abc"]
    >>> gone = VoterHealth(voter=Voter("d", "d"), silent=2.0)
    >>> RemovalPolicy().choose([*healths, gone]).voter.node
    'd'
    """

    tolerated: int | None = None

    def choose(
        self, healths: collections.abc.Sequence[VoterHealth]
    ) -> Removal:
        """Choose a voter to be removed.

        :param healths: all voters
        :returns: the voter, or ``None``, and why
        """
        if not any(_may_be_gone(health) for health in healths):
            return Removal(None, RemovalReason.ALL_ANSWER)
        if len(healths) <= MIN_VOTERS:
            return Removal(None, RemovalReason.TOO_FEW)
        if self.can_spare(len(healths)):
            return self._choose_spare(healths)
        return self._choose_unreachable(healths)

    def can_spare(self, count: int) -> bool:
        """Tell whether a number of voters bears the loss of a vote.

        >>> [RemovalPolicy().can_spare(n) for n in (3, 4, 5, 6)]
        [False, True, False, True]
        >>> [RemovalPolicy(tolerated=1).can_spare(n) for n in (3, 4, 5, 6)]
        [False, True, True, True]
        """
        if count <= MIN_VOTERS:
            return False
        borne, left = count_borne(count), count_borne(count - 1)
        return left == borne or left >= (
            borne if self.tolerated is None else self.tolerated
        )

    def _choose_spare(
        self, healths: collections.abc.Sequence[VoterHealth]
    ) -> Removal:
        spare = [
            health
            for health in healths
            if health.stops or health.silent > SPARE_TIMEOUT_SECONDS
        ]
        if not spare:
            return Removal(None, RemovalReason.WAITS)
        # One that only stalls comes back; of several, it is the last to go.
        first = max(spare, key=lambda h: (h.stops, h.silent))
        return Removal(first.voter, RemovalReason.SPARE)

    def _choose_unreachable(
        self, healths: collections.abc.Sequence[VoterHealth]
    ) -> Removal:
        """Choose among voters that the others cannot spare.

        An odd number bears fewer losses after the removal of one, but a
        second one that is gone lowers what it bears all the same.
        """
        unreachable = [h for h in healths if _is_unreachable(h)]
        if len(unreachable) > 1:
            voter = max(unreachable, key=lambda h: h.behind).voter
            return Removal(voter, RemovalReason.UNREACHABLE)
        if len([h for h in healths if _may_be_gone(h)]) > 1:
            return Removal(None, RemovalReason.WAITS)
        return Removal(None, RemovalReason.BEARS_LESS)


def _may_be_gone(health: VoterHealth) -> bool:
    return (
        health.stops
        or health.silent >= LOST_SECONDS
        or health.behind > REPLACED_TIMEOUT_SECONDS
    )


def _is_unreachable(health: VoterHealth) -> bool:
    return health.behind > (
        REPLACED_TIMEOUT_SECONDS
        if health.replaced or health.stops
        else UNREACHABLE_TIMEOUT_SECONDS
    )


def count_borne(count: int) -> int:
    """Return how many lost disks a number of voters bears.

    >>> [count_borne(n) for n in (3, 4, 5, 6)]
    [1, 1, 2, 2]
    """
    return (count - 1) // 2
