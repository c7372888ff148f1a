"""The targets that announced themselves."""

import collections.abc

from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.zones import Zones

# A target announces itself about every beat; after this many missed ones it
# has most likely crashed. One or two may be late or lost.
MAX_MISSED_HEARTBEATS = 3.5
# Seconds for which an instance that left is remembered: a delayed
# announcement of it would else bring it back to life.
GONE_RETENTION_SECONDS = 60.0
# Seconds without a word after which an instance is forgotten.
SILENT_RETENTION_SECONDS = 30.0

# Seconds by which a target's time to be warm must have moved to be news: an
# announcement that took some tenths of a second on its way says no more.
MIN_WARM_CHANGE_SECONDS = 0.3

Watcher = collections.abc.Callable[[Target, TargetState | None], None]
RestartWatcher = collections.abc.Callable[[Target], None]


class TargetTable:
    """Merges announcements, whatever way and in whatever order they come.

    :param beat: seconds between a target's announcements
    :param zones: where nothing new may be sent; nowhere by default
    """

    def __init__(self, beat: float, zones: Zones | None = None):
        self.zones = Zones() if zones is None else zones
        self._silence_seconds = beat * MAX_MISSED_HEARTBEATS
        self._targets: dict[str, Target] = {}
        self._leaving: dict[tuple[str, int], float] = {}
        self.watchers: list[Watcher] = []
        self.restart_watchers: list[RestartWatcher] = []

    def __iter__(self) -> collections.abc.Iterator[Target]:
        return iter(list(self._targets.values()))

    def get(self, instance: str) -> Target | None:
        """Find one instance."""
        return self._targets.get(instance)

    def is_leaving(self, instance: str) -> bool:
        """Tell whether an instance said that it leaves."""
        target = self._targets.get(instance)
        return target is not None and target.state is not TargetState.READY

    def put(self, target: Target) -> bool:
        """Merge an announcement.

        :param target: what was announced, with the time it was heard
        :returns: whether it was news, other than of being alive
        """
        known = self._targets.get(target.instance)
        if known is not None and target.born != known.born:
            if target.born < known.born:
                return False
            self._end_incarnation(known)
            known = None
        if (target.instance, target.born) in self._leaving:
            self._keep_leaving(target)
        if known is not None:
            if target.number < known.number:
                return self._apply_outdated(target, known)
            if known.state is TargetState.GONE:
                return False
            target.heard = max(target.heard, known.heard)
            if target.number == known.number and target.state is known.state:
                known.heard = target.heard
                return False
            if known.state is TargetState.LEAVING:
                self._keep_leaving(target)
        self._targets[target.instance] = target
        before = known.state if known else None
        for watcher in self.watchers:
            watcher(target, before)
        # a target that became cold since would else be sent what it can't
        # bear: others than its own voter heard of its state alone
        colder = known is not None and (
            target.warm_at > known.warm_at + MIN_WARM_CHANGE_SECONDS
            and target.warm_at > target.announced_at
        )
        return before is not target.state or colder

    def _keep_leaving(self, target: Target) -> None:
        # what left stays so, whatever announcement overtakes that word
        if target.state is TargetState.READY:
            target.state = TargetState.LEAVING

    def _apply_outdated(self, target: Target, known: Target) -> bool:
        """Take a word that others have overtaken.

        That a target leaves holds from then on; all else of it is outdated.
        """
        if target.state is not TargetState.LEAVING:
            return False
        return self.mark_leaving(target.instance, target.born, known.heard)

    def mark_leaving(self, instance: str, born: int, now: float) -> bool:
        """Take that a target leaves, from wherever it is known.

        It may be known before the target itself is, or while what the target
        announces still says otherwise; no later word of this life undoes it.

        :param instance: the target's name
        :param born: start of the life that leaves
        :param now: monotonic seconds
        :returns: whether it was news
        """
        known = self._targets.get(instance)
        told = (instance, born) in self._leaving
        self._leaving[(instance, born)] = now
        if known is None or known.born != born:
            return not told
        if known.state is not TargetState.READY:
            return False
        known.state = TargetState.LEAVING
        for watcher in self.watchers:
            watcher(known, TargetState.READY)
        return True

    def mark_alive(
        self, instances: collections.abc.Iterable[str], now: float
    ) -> None:
        """Note that targets live and have said nothing new.

        :param instances: their names; unknown ones are left alone
        :param now: monotonic seconds
        """
        for instance in instances:
            known = self._targets.get(instance)
            if known is not None:
                known.heard = max(known.heard, now)

    def _end_incarnation(self, known: Target) -> None:
        """Tell that what was believed of a target has ended.

        A target that starts again under its name counts from the beginning and
        knows nothing of before: taken for the one that ran until then, its
        words would be dropped as old. The watchers drop loads, health and
        generations of the earlier life before they hear of the next.
        """
        known.state = TargetState.GONE
        for watcher in self.restart_watchers:
            watcher(known)

    def is_current(self, target: Target) -> bool:
        """Tell whether a target has not started again since.

        :param target: as it was known when something was sent to it
        """
        known = self._targets.get(target.instance)
        return known is None or known.born == target.born

    def mark_gone(self, instance: str, address: str) -> None:
        """Take an instance out that another one has replaced.

        :param instance: whose address answers for another instance
        :param address: where that was seen
        """
        known = self._targets.get(instance)
        if known is None or known.address != address:
            return
        before, known.state = known.state, TargetState.GONE
        for watcher in self.watchers:
            watcher(known, before)

    def select(
        self,
        service: str,
        now: float,
        regions: collections.abc.Collection[str] | None = None,
    ) -> list[Target]:
        """Return the targets of a service that new work may go to.

        Silent ones are left out while any other is heard: when all are
        silent it is this node that hears nothing, and they may well live.

        :param service: its name
        :param now: monotonic seconds
        :param regions: that the work may reach; ``None`` for all
        :returns: the candidates
        """
        ready = [
            target
            for target in self._targets.values()
            if target.service == service and target.state is TargetState.READY
        ]
        fresh = [t for t in ready if now - t.heard < self._silence_seconds]
        return [
            target
            for target in fresh or ready
            if self.zones.is_allowed(target.zone, regions, now)
        ]

    def select_leaving(self, service: str) -> list[Target]:
        """Return the targets of a service that leave but still serve."""
        return [
            target
            for target in self._targets.values()
            if target.service == service
            and target.state is TargetState.LEAVING
        ]

    def is_silent(self, target: Target, now: float) -> bool:
        """Tell whether a target alone has fallen silent.

        :param target: any
        :param now: monotonic seconds
        :returns: whether it is not heard while another of its service is
        """
        known = self._targets.get(target.instance)
        if known is None or now - known.heard < self._silence_seconds:
            return False
        return any(
            other.service == target.service
            and now - other.heard < self._silence_seconds
            for other in self._targets.values()
        )

    def expire(self, now: float) -> None:
        """Drop what has long been silent.

        :param now: monotonic seconds
        """
        for target in list(self._targets.values()):
            gone = target.state is TargetState.GONE
            kept = GONE_RETENTION_SECONDS if gone else SILENT_RETENTION_SECONDS
            if now - target.heard > kept:
                del self._targets[target.instance]
        for (instance, born), at in list(self._leaving.items()):
            known = self._targets.get(instance)
            if known is not None and known.born == born:
                self._leaving[(instance, born)] = now
            elif now - at > GONE_RETENTION_SECONDS:
                del self._leaving[(instance, born)]
