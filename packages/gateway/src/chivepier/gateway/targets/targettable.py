"""The targets known from their announcements."""

import collections.abc

from chivepier.gateway.targets.eligibility import ANY_TARGET
from chivepier.gateway.targets.eligibility import Eligibility
from chivepier.gateway.targets.pastversion import PastVersion
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.targets.versionhistory import VersionHistory
from chivepier.gateway.zones import Zones

# Number of missed announcements after which a target has most likely crashed.
# One or two may be late or lost.
MAX_MISSED_HEARTBEATS = 3.5
# Seconds for which a gone instance is kept, so that a delayed announcement
# does not make it available again.
GONE_RETENTION_SECONDS = 60.0
# Seconds without a sign of life after which an instance is dropped.
SILENT_RETENTION_SECONDS = 30.0

# Minimum change of a target's warm-up end that counts as a change: the network
# delay of announcements varies by some tenths of a second.
MIN_WARM_CHANGE_SECONDS = 0.3

Watcher = collections.abc.Callable[[Target, TargetState | None], None]
RestartWatcher = collections.abc.Callable[[Target], None]
IsUsable = collections.abc.Callable[[Target], bool]


class TargetTable:
    """Merges announcements that arrive by any path and in any order.

    :param beat: interval between announcements of a target, in seconds
    :param zones: evacuated availability zones; none by default
    :ivar past_versions: versions of targets that were dropped
    """

    def __init__(self, beat: float, zones: Zones | None = None):
        self.zones = Zones() if zones is None else zones
        self._silence_seconds = beat * MAX_MISSED_HEARTBEATS
        self._targets: dict[str, Target] = {}
        self._leaving: dict[tuple[str, int], float] = {}
        self._answered_at: dict[str, float] = {}
        self._versions: dict[str, frozenset[str]] = {}
        self.past_versions = VersionHistory()
        self._updated_at: float | None = None
        self._listening_since = float("-inf")
        self.watchers: list[Watcher] = []
        self.restart_watchers: list[RestartWatcher] = []

    def __iter__(self) -> collections.abc.Iterator[Target]:
        return iter(list(self._targets.values()))

    def get(self, instance: str) -> Target | None:
        """Return the target of a name, if known."""
        return self._targets.get(instance)

    def is_leaving(self, instance: str) -> bool:
        """Tell whether an instance is leaving or gone."""
        target = self._targets.get(instance)
        return target is not None and target.state is not TargetState.READY

    def put(self, target: Target) -> bool:
        """Merge an announcement.

        :param target: the announcement, with the time of its arrival
        :returns: whether it changed more than the time of the last sign of
            life
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
            # nodes of an earlier release drop the version of the software
            version = target.software_version or known.software_version
            if version != known.software_version:
                self._versions.clear()
            target.software_version = known.software_version = version
            if target.number == known.number and target.state is known.state:
                known.heard = target.heard
                return False
            if known.state is TargetState.LEAVING:
                self._keep_leaving(target)
        self._targets[target.instance] = target
        if known is None or (known.service, known.software_version) != (
            target.service,
            target.software_version,
        ):
            self._versions.clear()
        before = known.state if known else None
        for watcher in self.watchers:
            watcher(target, before)
        # report a target that became cold: other nodes would otherwise
        # overload it, as only its own voter hears every announcement
        colder = known is not None and (
            target.warm_at > known.warm_at + MIN_WARM_CHANGE_SECONDS
            and target.warm_at > target.announced_at
        )
        return before is not target.state or colder

    def _keep_leaving(self, target: Target) -> None:
        # leaving is final, even if another announcement arrives first
        if target.state is TargetState.READY:
            target.state = TargetState.LEAVING

    def _apply_outdated(self, target: Target, known: Target) -> bool:
        """Apply an announcement that is older than the known one.

        Only the leaving state still applies; everything else is outdated.
        """
        if target.state is not TargetState.LEAVING:
            return False
        return self.mark_leaving(target.instance, target.born, known.heard)

    def mark_leaving(self, instance: str, born: int, now: float) -> bool:
        """Mark a target as leaving, whatever the source of that information.

        It may arrive before the first announcement of the target, or while
        announcements still say otherwise. No later announcement of the same
        incarnation reverts it.

        :param instance: name of the target
        :param born: start of the incarnation that is leaving
        :param now: current monotonic time, in seconds
        :returns: whether this was not known before
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
        """Record that targets are alive without changes.

        :param instances: names of the targets; unknown ones are ignored
        :param now: current monotonic time, in seconds
        """
        for instance in instances:
            known = self._targets.get(instance)
            if known is not None:
                known.heard = max(known.heard, now)

    def note_update(self, at: float, continues: bool) -> None:
        """Record a report of the targets that a voter has heard.

        :param at: when the report was requested, in monotonic seconds; it may
            have waited while this node stood still
        :param continues: whether it lists all targets heard since the last
            report, and not only those heard by another voter
        """
        if not continues:
            self._listening_since = at
        if self._updated_at is None or at > self._updated_at:
            self._updated_at = at

    def note_answered(self, instance: str, now: float) -> None:
        """Record an answer of a target, which is a sign of life.

        It does not count as heard: it may come from an incarnation that has
        not been announced yet.

        :param instance: name of the target
        :param now: current monotonic time, in seconds
        """
        self._answered_at[instance] = now

    def _end_incarnation(self, known: Target) -> None:
        """Tell the watchers that an incarnation of a target has ended.

        A restarted target numbers its announcements from the beginning; as the
        same incarnation, these would be dropped as old. The watchers drop the
        load, health and generations of the old incarnation before they are
        notified of the new one.
        """
        known.state = TargetState.GONE
        for watcher in self.restart_watchers:
            watcher(known)

    def is_current(self, target: Target) -> bool:
        """Tell whether a target has not restarted since.

        :param target: the target as known when a request was sent to it
        """
        known = self._targets.get(target.instance)
        return known is None or known.born == target.born

    def find_version(self, target: Target) -> str:
        """Return the version of a target's software, empty if not known.

        :param target: the target as known when a request was sent to it
        """
        known = self._targets.get(target.instance)
        if known is None or known.born != target.born:
            return target.software_version
        return known.software_version or target.software_version

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the software versions that a service's targets run, or ran.

        Targets count until they are dropped, some time after their end. An
        empty version stands for those that are not known.

        :param service: name of the service
        """
        found = self._versions.get(service)
        if found is None:
            found = self._versions[service] = frozenset(
                target.software_version
                for target in self._targets.values()
                if target.service == service
            )
        return found

    def list_versions_since(
        self, service: str, since: float
    ) -> frozenset[str]:
        """Return the versions that a service's targets have run of late.

        :param service: name of the service
        :param since: monotonic time in seconds; targets that were dropped
            count if they were heard later
        """
        past = self.past_versions.find(service, since)
        return self.list_versions(service) | past

    def mark_gone(self, instance: str, address: str) -> None:
        """Mark an instance as gone if another one has its address.

        :param instance: name of the replaced instance
        :param address: address at which another instance responded
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
        eligibility: Eligibility = ANY_TARGET,
        is_usable: IsUsable | None = None,
    ) -> list[Target]:
        """Return the targets of a service that accept new requests.

        Silent targets are excluded unless all usable ones are silent: they
        may be alive, as their announcements or this node may be cut off.

        :param service: name of the service
        :param now: current monotonic time, in seconds
        :param eligibility: which targets the request may be sent to
        :param is_usable: selects among the targets; ``None`` for all
        :returns: the candidates
        """
        usable = [
            target
            for target in self._targets.values()
            if target.service == service
            and target.state is TargetState.READY
            and self.zones.is_allowed(target.zone, eligibility.regions, now)
            and eligibility.fits_version(target)
            and (is_usable is None or is_usable(target))
        ]
        return [t for t in usable if not self.is_unheard(t, now)] or usable

    def is_unheard(self, target: Target, now: float) -> bool:
        """Tell whether there was no sign of life of a target for too long.

        :param target: latest announcement of the target
        :param now: current monotonic time, in seconds
        """
        answered_at = self._answered_at.get(target.instance, target.heard)
        return self._is_outdated(max(target.heard, answered_at), now)

    def _is_outdated(self, heard: float, now: float) -> bool:
        """Tell whether a sign of life is too old.

        Its age counts only while reports of the voters cover it: a node that
        stood still, or follows another voter, reads the announcements of that
        time one by one, and would take the other targets for silent.
        """
        until = now if self._updated_at is None else min(now, self._updated_at)
        since = max(heard, self._listening_since)
        return until - since >= self._silence_seconds

    def select_leaving(self, service: str) -> list[Target]:
        """Return the targets of a service that are leaving but not gone."""
        return [
            target
            for target in self._targets.values()
            if target.service == service
            and target.state is TargetState.LEAVING
        ]

    def is_silent(self, target: Target, now: float) -> bool:
        """Tell whether a target's announcements alone have stopped.

        :param target: target to check
        :param now: current monotonic time, in seconds
        :returns: whether it is silent while another target of its service is
            heard
        """
        known = self._targets.get(target.instance)
        if known is None or not self._is_outdated(known.heard, now):
            return False
        return any(
            other.service == target.service
            and not self._is_outdated(other.heard, now)
            for other in self._targets.values()
        )

    def expire(self, now: float) -> None:
        """Drop targets that have been silent or gone for long.

        :param now: current monotonic time, in seconds
        """
        for target in list(self._targets.values()):
            gone = target.state is TargetState.GONE
            kept = GONE_RETENTION_SECONDS if gone else SILENT_RETENTION_SECONDS
            if now - target.heard > kept:
                del self._targets[target.instance]
                self._versions.clear()
                self.past_versions.put(
                    PastVersion(
                        target.service, target.software_version, target.heard
                    )
                )
        self.past_versions.expire(now)
        for instance in self._answered_at.keys() - self._targets.keys():
            del self._answered_at[instance]
        for (instance, born), at in list(self._leaving.items()):
            known = self._targets.get(instance)
            if known is not None and known.born == born:
                self._leaving[(instance, born)] = now
            elif now - at > GONE_RETENTION_SECONDS:
                del self._leaving[(instance, born)]
