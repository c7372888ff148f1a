"""Taking entries and snapshots from the leader."""

import logbook

from chivepier.messages import AppendAnswer
from chivepier.messages import AppendRequest
from chivepier.messages import Entry
from chivepier.messages import SnapshotAnswer
from chivepier.messages import SnapshotRequest
from chivepier.state.core import Core
from chivepier.state.role import Role
from chivepier.state.snapshot import Snapshot

log = logbook.Logger("state")


class Following:
    """The follower's side of replication."""

    def __init__(self, core: Core):
        self._core = core
        self._incoming = bytearray()
        self._source: tuple[int, int, int] = (0, 0, 0)

    async def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Take entries or a heartbeat from the leader.

        :param request: the leader's entries
        :returns: what is synced here, or where to go back to
        """
        core = self._core
        arrived = core.clock.monotonic()
        if core.refusal is not None:
            self._note_leader(request)
        async with core.lock:
            core.check(request.cluster, request.voter)
            storage = core.storage
            if request.term < storage.term:
                return AppendAnswer(storage.term, False, storage.last_index)
            if request.ends:
                core.release(request.leader, request.term)
                return AppendAnswer(storage.term, False, storage.last_index)
            await self._hear(request.term, request.leader)
            back = self._find_conflict(request)
            if back is not None:
                return AppendAnswer(storage.term, False, back)
            await self._store(request.entries)
            # what stands behind this request's entries may still differ
            # from the leader's log, whatever is committed there
            last = request.prev_index + len(request.entries)
            core.raise_commit(min(request.commit, last))
            # without a lease, others may have committed what this leader
            # lacks; earlier appends that waited unread are no better
            if not request.leads:
                core.current_at = float("-inf")
            elif last >= request.commit:
                core.current_at = arrived
            return AppendAnswer(storage.term, True, last)

    def _find_conflict(self, request: AppendRequest) -> int | None:
        """Return where the logs may still agree; ``None``: they agree."""
        storage, index = self._core.storage, request.prev_index
        if index < storage.snapshot.index:
            # what the snapshot covers is committed, hence the same
            return None
        term = storage.term_at(index)
        if term == request.prev_term:
            return None
        if term is None:
            return storage.last_index
        # a whole term at a time: one request per entry would keep a voter
        # with a long dead end from voting in new entries for minutes
        while index > storage.snapshot.index + 1:
            if storage.term_at(index - 1) != term:
                break
            index -= 1
        return index - 1

    def _note_leader(self, request: AppendRequest | SnapshotRequest) -> None:
        """Know the leader although its entries can't be stored."""
        core = self._core
        core.check_names(request.cluster, request.voter)
        if request.term >= core.storage.term and not is_resignation(request):
            self._follow(request.leader)

    async def _hear(self, term: int, leader: str) -> None:
        core = self._core
        if term > core.storage.term:
            await core.save_vote(term, "")
        self._follow(leader)

    def _follow(self, leader: str) -> None:
        core = self._core
        if core.role is not Role.FOLLOWER or core.leader != leader:
            core.follow(leader)
        core.heard = core.clock.monotonic()
        core.last_leader = leader
        core.last_leader_heard = core.heard

    async def _store(self, entries: tuple[Entry, ...]) -> None:
        core, storage = self._core, self._core.storage
        for position, entry in enumerate(entries):
            if entry.index <= storage.snapshot.index:
                continue
            if storage.term_at(entry.index) != entry.term:
                break
        else:
            return
        if entry.index <= storage.last_index:
            core.truncate(entry.index)
        await core.append(entries[position:])

    async def handle_snapshot(
        self, request: SnapshotRequest
    ) -> SnapshotAnswer:
        """Take a part of the leader's snapshot.

        :param request: the next part
        :returns: how much is held
        """
        core = self._core
        if core.refusal is not None:
            self._note_leader(request)
        async with core.lock:
            core.check(request.cluster, request.voter)
            storage = core.storage
            if request.term < storage.term:
                return SnapshotAnswer(storage.term, 0)
            await self._hear(request.term, request.leader)
            # a part that was delayed may belong to an earlier snapshot
            source = (request.term, request.last_index, request.last_term)
            if request.offset == 0 or source != self._source:
                self._incoming.clear()
                self._source = source
            if request.offset != len(self._incoming):
                return SnapshotAnswer(storage.term, len(self._incoming))
            self._incoming += request.data
            held = len(self._incoming)
            if request.done:
                await self._install(request)
            return SnapshotAnswer(storage.term, held)

    async def _install(self, request: SnapshotRequest) -> None:
        core, storage = self._core, self._core.storage
        data = bytes(self._incoming)
        self._incoming.clear()
        self._source = (0, 0, 0)
        if request.last_index <= core.commit:
            return
        snapshot = Snapshot(request.last_index, request.last_term, data)
        if storage.term_at(snapshot.index) != snapshot.term:
            core.truncate(core.commit + 1)
        try:
            await core.store(storage.save_snapshot(snapshot))
        finally:
            # also where the waiter was cancelled: a machine behind the log's
            # first entry would apply nothing any more
            if storage.snapshot is snapshot:
                self._take_over(snapshot)

    def _take_over(self, snapshot: Snapshot) -> None:
        core, storage = self._core, self._core.storage
        core.machine.restore(snapshot)
        core.sets.reset(snapshot.index, core.machine.voters, storage.entries)
        core.raise_commit(snapshot.index)


def is_resignation(request: AppendRequest | SnapshotRequest) -> bool:
    """Tell whether a message says that its sender leads no more."""
    return isinstance(request, AppendRequest) and request.ends
