"""Targets as they announce themselves to voters."""

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

# Seconds after a zone was taken back in which all that its targets say goes
# to the entries: three to four of their announcements.
READMISSION_WINDOW_SECONDS = 5.0
# Seconds by which a time that was sent as an age may be off: what a message
# takes between two voters, also where one of them is busy.
AGE_TOLERANCE_SECONDS = 0.2


class Registry:
    """Takes announcements and tells entries and the other voters.

    What is new goes out at once; what an entry missed it gets with its next
    beat, by a revision that counts what this voter heard itself.

    :param me: this voter's peer address
    :param table: the targets
    :param entries: who is told
    :param links: to the other voters
    :param peers: their addresses
    :param clock: monotonic time
    :param log: what this process believes
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
        """Take a target's own announcement.

        :param target: what it says; heard just now
        """
        if not self._merge_target(target):
            return
        self._unsynced.add(target.instance)
        if self._content_revisions.get(target.instance) == self.revision:
            self._broadcast(target)

    def mark_leaving(self, instance: str, born: int) -> None:
        """Take an entry's word that a target told it that it leaves.

        :param instance: the target's name
        :param born: start of the life that leaves
        """
        now = self._clock.monotonic()
        if not self._table.note_leaving(instance, born, now):
            return
        known = self._table.get(instance)
        if known is None or known.born != born:
            # what it announces later is taken for what it is
            return
        self.revision += 1
        _record_revision(self._liveness_revisions, instance, self.revision)
        _record_revision(self._content_revisions, instance, self.revision)
        self._unsynced.add(instance)
        self._broadcast(known)

    def _merge_target(self, target: Target) -> bool:
        """Merge a target's word.

        :returns: whether it shows that the target lives. An older word, or
            one of an earlier life, does not; nor does one that comes back
            from another voter, a moment off as ages travel, not times
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
        """Tell whether entries wait for this word of a target.

        Those of a zone that was taken back count as cold until they speak.
        Voters and entries learn of that moment some tenths of a second
        apart, so the next words all go to the entries.
        """
        at = self._table.zones.find_readmitted(target.zone)
        return (
            at is not None
            and 0 <= target.said - at < READMISSION_WINDOW_SECONDS
        )

    def deregister(self, instance: str, born: int | None = None) -> None:
        """Take a target's word that it ends.

        :param instance: that ends; nothing is kept of one that is not known
        :param born: which of its lives ends; the one that is known where the
            target does not tell
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
        )
        record = pack_target(target, self._clock.monotonic())
        notice = TargetNotice((record,))
        for channel in self._entries.list_channels():
            channel.send(notice)
        for peer in self._peers.all:
            if peer != self._own_address:
                self._links.post(peer, notice)

    def sync_peers(self) -> None:
        """Tell the other voters which targets were heard here lately.

        They hear of a target when it is new, and would forget one that
        speaks to this voter only: after a kill of all processes they would
        tell entries of none of the long-lived ones.
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
        """Take what another voter heard."""
        now = self._clock.monotonic()
        for record in notice.records:
            self._merge_target(unpack_target(record, now))

    def find_changed_records(
        self, epoch: str, revision: int
    ) -> tuple[TargetRecord, ...]:
        """Return what an entry lacks.

        :param epoch: of this voter, as the entry knows it
        :param revision: up to which it has everything
        :returns: all records when the epoch is another one
        """
        now = self._clock.monotonic()
        if epoch != self.epoch:
            return tuple(pack_target(t, now) for t in self._table)
        names = _find_newer(self._content_revisions, revision)
        targets = [self._table.get(name) for name in names]
        return tuple(pack_target(t, now) for t in targets if t is not None)

    def find_live_names(self, epoch: str, revision: int) -> tuple[str, ...]:
        """Return which targets an entry should know to live.

        Names alone, as nothing else is new: what a voter tells grows as the
        targets times the entries.

        :param epoch: of this voter, as the entry knows it
        :param revision: up to which it has everything
        """
        if epoch != self.epoch:
            return ()
        return tuple(_find_newer(self._liveness_revisions, revision))

    def expire(self) -> None:
        """Drop targets that have long been silent."""
        self._table.forget(self._clock.monotonic())
        for instance in list(self._liveness_revisions):
            if self._table.get(instance) is None:
                del self._liveness_revisions[instance]
                self._content_revisions.pop(instance, None)


def _record_revision(
    revisions: dict[str, int], name: str, revision: int
) -> None:
    """Note a revision, and keep the dictionary in the order of these."""
    revisions.pop(name, None)
    revisions[name] = revision


def _find_newer(
    revisions: dict[str, int], revision: int
) -> collections.abc.Iterator[str]:
    """Return the names that are newer than a revision, newest first."""
    for name in reversed(revisions):
        if revisions[name] <= revision:
            return
        yield name
