"""Registry of the targets that announce themselves to voters."""

import collections.abc
import secrets

from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import pack_target
from chivepier.gateway.following import Peers
from chivepier.gateway.following import unpack_target
from chivepier.gateway.messages import TargetNotice
from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.wire import Links

# Seconds after a zone's readmission in which every announcement of its targets
# is pushed to the entries: three to four announcements of each.
READMISSION_WINDOW_SECONDS = 5.0
# Error of a time that is sent as an age: the latency of a message between two
# voters, also where one of them is busy.
AGE_TOLERANCE_SECONDS = 0.2


class Registry:
    """Receives announcements and forwards them to entries and other voters.

    Changes are pushed at once. An entry gets missed ones in the answer to its
    next beat, selected by a revision number that is local to this voter.

    :param own_address: this voter's peer address
    :param table: all known targets
    :param entries: the entries that receive changes
    :param links: connections to the other voters
    :param peers: addresses of the other voters
    :param clock: monotonic clock
    :param log: receives changes of targets
    """

    def __init__(
        self,
        own_address: str,
        table: TargetTable,
        entries: EntryDirectory,
        links: Links,
        peers: Peers,
        clock: Clock,
        log: EventLog,
    ):
        self.epoch = secrets.token_hex(4)
        self.revision = 0
        self._own_address = own_address
        self._table = table
        self._entries = entries
        self._links = links
        self._peers = peers
        self._clock = clock
        self._log = log
        self._liveness_revisions: dict[str, int] = {}
        self._content_revisions: dict[str, int] = {}
        self._unsynced: set[str] = set()

    def announce(self, target: Target) -> None:
        """Merge an announcement received from the target itself.

        :param target: its announced state, with the current time as ``heard``
        """
        if not self._merge_target(target):
            return
        self._unsynced.add(target.instance)
        if self._content_revisions.get(target.instance) == self.revision:
            self._broadcast(target)

    def mark_leaving(self, instance: str, born: int) -> None:
        """Mark a target as leaving, as reported by an entry.

        :param instance: name of the target
        :param born: start time of the leaving incarnation
        """
        now = self._clock.monotonic()
        if not self._table.mark_leaving(instance, born, now):
            return
        known = self._table.get(instance)
        if known is None or known.born != born:
            # The table applies it to a later announcement.
            return
        self.revision += 1
        _record_revision(self._liveness_revisions, instance, self.revision)
        _record_revision(self._content_revisions, instance, self.revision)
        self._unsynced.add(instance)
        self._broadcast(known)

    def _merge_target(self, target: Target) -> bool:
        """Merge an announcement and assign a revision to what is new.

        :returns: whether the announcement shows that the target is alive.
            Older ones, those of an earlier incarnation and those echoed by
            another voter do not; an echo may differ by the error of its age.
        """
        known = self._table.get(target.instance)
        heard = known.heard if known is not None else None
        changed = self._table.put(target) or self._is_recently_readmitted(
            target
        )
        known = self._table.get(target.instance)
        is_newer = heard is None or known.heard > heard + AGE_TOLERANCE_SECONDS
        if not changed and not (is_newer and known.born == target.born):
            return False
        self.revision += 1
        _record_revision(
            self._liveness_revisions, target.instance, self.revision
        )
        if changed:
            _record_revision(
                self._content_revisions, target.instance, self.revision
            )
        return True

    def _is_recently_readmitted(self, target: Target) -> bool:
        """Tell whether an announcement follows its zone's readmission.

        Targets of a readmitted zone count as cold until they announce
        themselves again. Voters and entries learn of the readmission some
        tenths of a second apart, so several announcements are pushed.
        """
        at = self._table.zones.find_readmission(target.zone)
        return (
            at is not None
            and 0 <= target.announced_at - at < READMISSION_WINDOW_SECONDS
        )

    def deregister(self, instance: str, born: int | None = None) -> None:
        """Mark a target as gone on its own request.

        :param instance: name of the target; ignored if it is unknown
        :param born: start time of the ending incarnation; by default the
            known one
        """
        known = self._table.get(instance)
        if known is None or born is not None and born < known.born:
            return
        self.announce(
            Target(
                instance=instance,
                service=known.service,
                address=known.address,
                zone=known.zone,
                state=TargetState.GONE,
                number=known.number + 1,
                slots=known.slots,
                heard=self._clock.monotonic(),
                born=known.born if born is None else born,
            )
        )

    def _broadcast(self, target: Target) -> None:
        self._log.info(
            "target_known",
            target=target.instance,
            service=target.service,
            address=target.address,
            state=target.state.value,
            number=target.number,
            software=target.software_version,
        )
        record = pack_target(target, self._clock.monotonic())
        notice = TargetNotice((record,))
        for channel in self._entries.list_channels():
            channel.send(notice)
        for peer in self._peers.all:
            if peer != self._own_address:
                self._links.post(peer, notice)

    def sync_peers(self) -> None:
        """Send the targets heard since the last call to the other voters.

        Only changes are pushed at once. Without this, other voters would
        expire a long-lived target that announces itself to this voter only,
        and could not name it to entries after a restart of all processes.
        """
        now = self._clock.monotonic()
        targets = [self._table.get(name) for name in sorted(self._unsynced)]
        self._unsynced.clear()
        records = [pack_target(t, now) for t in targets if t is not None]
        notice = TargetNotice(tuple(records))
        for peer in self._peers.all:
            if records and peer != self._own_address:
                self._links.post(peer, notice)

    def merge(self, notice: TargetNotice) -> None:
        """Merge targets received from another voter."""
        now = self._clock.monotonic()
        for record in notice.records:
            self._merge_target(unpack_target(record, now))

    def find_changed_records(
        self, epoch: str, revision: int
    ) -> tuple[TargetRecord, ...]:
        """Return the records that changed since an entry's revision.

        :param epoch: this voter's epoch as known to the entry
        :param revision: last revision that the entry has received
        :returns: changed records; all records if the epochs differ
        """
        now = self._clock.monotonic()
        if epoch != self.epoch:
            return tuple(pack_target(t, now) for t in self._table)
        names = _find_newer(self._content_revisions, revision)
        targets = [self._table.get(name) for name in names]
        return tuple(pack_target(t, now) for t in targets if t is not None)

    def find_live_names(self, epoch: str, revision: int) -> tuple[str, ...]:
        """Return the targets heard since an entry's revision.

        Names suffice for unchanged targets, and limit the traffic, which
        grows with the number of targets times the number of entries.

        :param epoch: this voter's epoch as known to the entry
        :param revision: last revision that the entry has received
        :returns: names of the targets; empty if the epochs differ
        """
        if epoch != self.epoch:
            return ()
        return tuple(_find_newer(self._liveness_revisions, revision))

    def expire(self) -> None:
        """Remove targets that have expired."""
        self._table.expire(self._clock.monotonic())
        for instance in list(self._liveness_revisions):
            if self._table.get(instance) is None:
                del self._liveness_revisions[instance]
                self._content_revisions.pop(instance, None)


def _record_revision(
    revisions: dict[str, int], name: str, revision: int
) -> None:
    """Set a name's revision, keeping the dictionary sorted by revision."""
    revisions.pop(name, None)
    revisions[name] = revision


def _find_newer(
    revisions: dict[str, int], revision: int
) -> collections.abc.Iterator[str]:
    """Yield the names with a later revision, latest first."""
    for name in reversed(revisions):
        if revisions[name] <= revision:
            return
        yield name
