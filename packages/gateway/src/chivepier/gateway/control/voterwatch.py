"""What a leader knows of how the voters do."""

from chivepier.gateway.control.voterhealth import VoterHealth
from chivepier.messages import Voter
from chivepier.state import Replica


class VoterWatch:
    """Follows silences, additions and announced stops of voters.

    :param replica: this node's replica
    """

    def __init__(self, replica: Replica):
        self._replica = replica
        self._added_at: dict[str, float] = {}
        self._behind_since: dict[str, float] = {}
        self._stopping: set[str] = set()

    def clear(self) -> None:
        """Forget what only a leader can know."""
        self._behind_since.clear()
        self._stopping.clear()

    def note_addition(self, voter: Voter, now: float) -> None:
        """Note that a voter was added.

        :param voter: the new voter
        :param now: monotonic time in seconds
        """
        self._added_at[voter.node] = now

    def note_stop(self, node: str) -> None:
        """Note that a voter is about to stop.

        :param node: its identity
        """
        self._stopping.add(node)

    def note_start(self, node: str) -> None:
        """Note that a voter has started.

        :param node: its identity
        """
        self._stopping.discard(node)

    def survey(self, now: float) -> list[VoterHealth]:
        """Return how all voters do.

        :param now: monotonic time in seconds
        :raises NotLeaderError: when this node does not lead
        """
        self._update_behind(now)
        return [self._describe(voter, now) for voter in self._replica.voters]

    def _update_behind(self, now: float) -> None:
        states = self._replica.changes.report()
        for state in states:
            if not state.holds:
                self._behind_since.setdefault(state.node, now)
            elif self._behind_since.pop(state.node, None) is not None:
                # It was away and is back: the stop is over.
                self.note_start(state.node)
        known = {state.node for state in states}
        for node in self._behind_since.keys() - known:
            del self._behind_since[node]

    def _describe(self, voter: Voter, now: float) -> VoterHealth:
        since = self._behind_since.get(voter.node, now)
        return VoterHealth(
            voter=voter,
            silent=self._replica.changes.measure_silence(voter.node),
            heard=self._replica.changes.has_answered(voter.node),
            behind=now - since,
            stops=voter.node in self._stopping,
            replaced=any(at > since for at in self._added_at.values()),
        )
