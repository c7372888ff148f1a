"""Targets that this entry and others avoid."""

from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Clock

# Number of entries that must avoid a target before all entries avoid it; fewer
# may have lost their own connection.
MIN_AVOIDING_ENTRIES = 3


class Avoidance:
    """Avoids targets that could not be reached, here and at other entries.

    :param table: known targets
    :param health: health of the targets, as this entry sees it
    :param loads: exchanges which targets entries avoid
    :param clock: source of monotonic time
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        loads: LoadTracker,
        clock: Clock,
    ):
        self._table = table
        self._health = health
        self._loads = loads
        self._clock = clock
        self._cut_off: set[str] = set()

    def avoid(self, instance: str) -> None:
        """Avoid an unreachable or silent target for a while.

        :param instance: name of the target; reported to the other entries,
            unless this one reaches no target of its service
        """
        now = self._clock.monotonic()
        until = self._health.record_unreachable(instance, now)
        target = self._table.get(instance)
        if target is None or target.service not in self._cut_off:
            self._loads.avoid(instance, until)

    def set_cut_off(self, service: str, cut_off: bool) -> None:
        """Set whether this entry reaches no target of a service.

        Others would leave out sound targets if enough entries told them.

        :param service: name of the service
        :param cut_off: whether its targets are out of reach
        """
        if not cut_off:
            self._cut_off.discard(service)
            return
        self._cut_off.add(service)
        for target in self._table:
            if target.service == service:
                self._loads.withdraw_avoiding(target.instance)

    def exclude_avoided(
        self, targets: list[Target], now: float
    ) -> list[Target]:
        """Exclude targets that several entries avoid.

        Entries that are cut off avoid all targets, so the counts are compared
        with that of the least avoided target.

        :param targets: the targets, one at least
        :param now: current time, in monotonic seconds
        """
        counts = [self._loads.count_avoiding(t.instance, now) for t in targets]
        limit = min(counts) + MIN_AVOIDING_ENTRIES
        return [t for t, count in zip(targets, counts) if count < limit]
