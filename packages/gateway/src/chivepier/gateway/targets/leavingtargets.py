"""Targets that announced in a response that they are leaving."""

from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Signal


class LeavingTargets:
    """Records leaving targets and lists them for the voters.

    A response may arrive before the target's own announcement, or instead of
    it. The voters learn of it here and pass it on to the other entries.

    :param table: table of the known targets
    """

    def __init__(self, table: TargetTable):
        self._table = table
        self._unconfirmed: dict[str, Target] = {}
        self.changed = Signal()

    def record(self, target: Target, now: float) -> bool:
        """Record that a response announced the end of its target.

        :param target: the target as known when the request was sent
        :param now: current monotonic time, in seconds
        :returns: whether this was not known before
        """
        news = self._table.mark_leaving(target.instance, target.born, now)
        if news:
            self._unconfirmed[target.instance] = target
            self.changed.set()
        return news

    def list_unconfirmed(self) -> list[Target]:
        """Return the leaving targets to report to the voters."""
        for instance, target in list(self._unconfirmed.items()):
            known = self._table.get(instance)
            if (
                known is None
                or known.born != target.born
                or known.state is TargetState.GONE
            ):
                del self._unconfirmed[instance]
        return list(self._unconfirmed.values())
