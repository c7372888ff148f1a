"""The targets that told this entry in an answer that they leave."""

from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Signal


class LeavingTargets:
    """Takes what answers say, and keeps it to be told to the voters.

    An answer may come before the target's own announcement, or in its place:
    the voters, and through them the other entries, know by it as well.

    :param table: the targets
    """

    def __init__(self, table: TargetTable):
        self._table = table
        self._unconfirmed: dict[str, Target] = {}
        self.changed = Signal()

    def record(self, target: Target, now: float) -> bool:
        """Take that a target said in an answer that it leaves.

        :param target: as it was known when it was sent to
        :param now: monotonic seconds
        :returns: whether it was news
        """
        news = self._table.mark_leaving(target.instance, target.born, now)
        if news:
            self._unconfirmed[target.instance] = target
            self.changed.set()
        return news

    def list_unconfirmed(self) -> list[Target]:
        """Return those that the voters are to be told of."""
        for instance, target in list(self._unconfirmed.items()):
            known = self._table.get(instance)
            if (
                known is None
                or known.born != target.born
                or known.state is TargetState.GONE
            ):
                del self._unconfirmed[instance]
        return list(self._unconfirmed.values())
