"""A voter of the replicated log."""

import asyncio
import contextlib
import random

import logbook

from chivepier.messages import AppendAnswer
from chivepier.messages import AppendRequest
from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Noop
from chivepier.messages import SnapshotAnswer
from chivepier.messages import SnapshotRequest
from chivepier.messages import VoteAnswer
from chivepier.messages import Voter
from chivepier.messages import VoteRequest
from chivepier.messages import VotersCommand
from chivepier.state.answer import Answer
from chivepier.state.lostleaderror import LostLeadError
from chivepier.state.machine import Machine
from chivepier.state.notleadererror import NotLeaderError
from chivepier.state.role import Role
from chivepier.state.signal import Signal
from chivepier.state.snapshot import Snapshot
from chivepier.state.storage import Storage
from chivepier.state.timing import Timing
from chivepier.state.transport import Transport
from chivepier.types import Clock
from chivepier.wire import LinkError

log = logbook.Logger("state")

BATCH = 512
CHUNK = 1 << 20
SNAPSHOT_EVERY = 4096


class Replica:
    """Keeps a log with the other voters and applies what is committed.

    Term, vote and entries are synced before any reply that depends on them.
    One task watches for elections, one commits, one applies and, while it
    leads, one per peer replicates.
    """

    def __init__(
        self,
        node: str,
        storage: Storage,
        machine: Machine,
        transport: Transport,
        clock: Clock,
        timing: Timing,
        rng: random.Random,
    ):
        self.node = node
        self.storage = storage
        self.machine = machine
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = storage.snapshot.index
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._lock = asyncio.Lock()
        self._synced = storage.last_index
        self._match: dict[str, int] = {}
        self._acked: dict[str, float] = {}
        self._results: dict[int, asyncio.Future] = {}
        self._pending: list[tuple[bytes, asyncio.Future]] = []
        self._work = Signal()
        self._grown = Signal()
        self._committed = Signal()
        self._tasks: list[asyncio.Task] = []
        self._leading: list[asyncio.Task] = []
        self._incoming: bytearray = bytearray()
        # a restarted voter has forgotten whom it heard: by waiting as if it
        # had just heard a leader it can't help to break that leader's lease
        self._heard = clock.monotonic()
        if storage.snapshot.data:
            machine.restore(storage.snapshot)

    async def __aenter__(self) -> "Replica":
        for work in (self._watch, self._write, self._apply):
            self._tasks.append(asyncio.create_task(work()))
        return self

    async def __aexit__(self, *exc) -> None:
        self._follow(self.leader)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voters by the latest entry in the log, committed or not."""
        for entry in reversed(self.storage.entries):
            if not entry.command:
                continue
            command = decode(entry.command)
            if isinstance(command, VotersCommand):
                return command.voters
        return self.machine.voters

    def leads(self) -> bool:
        """Tell whether this voter holds a valid leader lease.

        :returns: true while no other leader can have been elected
        """
        if self.role is not Role.LEADER:
            return False
        return self._clock.monotonic() < self._lease_end()

    def _lease_end(self) -> float:
        times = [
            self._acked.get(v.node, float("-inf"))
            for v in self.voters
            if v.node != self.node
        ]
        needed = len(self.voters) // 2
        if needed == 0:
            return float("inf")
        times.sort(reverse=True)
        return times[needed - 1] + self.timing.lease

    # --- elections ---------------------------------------------------------

    async def _watch(self) -> None:
        while True:
            timeout = self.timing.election
            timeout += self._rng.random() * self.timing.spread
            await self._clock.sleep(self.timing.heartbeat)
            if self.role is Role.LEADER:
                self._check_lease()
                continue
            quiet = self._clock.monotonic() - self._heard
            if quiet >= timeout and self._is_voter():
                await self._stand()

    def _is_voter(self) -> bool:
        return any(v.node == self.node for v in self.voters)

    def _check_lease(self) -> None:
        silent = self._clock.monotonic() - self._lease_end()
        if silent > self.timing.election:
            log.warn("leader steps down: no majority answers")
            self._follow("")

    async def _stand(self) -> None:
        self._heard = self._clock.monotonic()
        if not await self._collect(self.storage.term + 1, pre=True):
            return
        async with self._lock:
            term = self.storage.term + 1
            await self._save_vote(term, self.node)
            self.role = Role.CANDIDATE
        won = await self._collect(term, pre=False)
        if won and self.storage.term == term:
            if self.role is Role.CANDIDATE:
                self._lead()

    async def _collect(self, term: int, pre: bool) -> bool:
        storage = self.storage
        last = storage.last_index
        request = VoteRequest(
            term, self.node, last, storage.term_at(last) or 0, pre
        )
        peers = [v for v in self.voters if v.node != self.node]
        votes = 1
        tasks = [
            asyncio.create_task(self._ask_vote(v.address, request))
            for v in peers
        ]
        needed = len(self.voters) // 2 + 1
        try:
            for done in asyncio.as_completed(tasks):
                if votes >= needed:
                    break
                votes += await done
        finally:
            for task in tasks:
                task.cancel()
        return votes >= needed

    async def _ask_vote(self, address: str, request: VoteRequest) -> bool:
        try:
            answer = await self._transport.request(
                address, request, self.timing.request
            )
        except LinkError:
            return False
        if answer.term > self.storage.term and not request.pre:
            await self._adopt_term(answer.term)
        return answer.granted

    async def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a candidate.

        :param request: the candidate's request
        :returns: the vote, synced
        """
        async with self._lock:
            storage = self.storage
            quiet = self._clock.monotonic() - self._heard
            if quiet < self.timing.election or self.leads():
                # a voter cut off for long must not depose a working leader
                return VoteAnswer(storage.term, False)
            if request.term < storage.term:
                return VoteAnswer(storage.term, False)
            last = storage.last_index
            mine = (storage.term_at(last) or 0, last)
            current = (request.last_term, request.last_index) >= mine
            if request.pre:
                return VoteAnswer(storage.term, current)
            if request.term > storage.term:
                self._follow("")
                await self._save_vote(request.term, "")
            granted = current and storage.vote in ("", request.candidate)
            if granted:
                await self._save_vote(request.term, request.candidate)
                self._heard = self._clock.monotonic()
            return VoteAnswer(storage.term, granted)

    async def _save_vote(self, term: int, vote: str) -> None:
        await asyncio.to_thread(self.storage.save_vote, term, vote)

    async def _adopt_term(self, term: int) -> None:
        async with self._lock:
            if term > self.storage.term:
                await self._save_vote(term, "")
                self._follow("")

    def _follow(self, leader: str) -> None:
        if leader != self.leader:
            log.info("follows leader={} term={}", leader, self.storage.term)
        self.role = Role.FOLLOWER
        self.leader = leader
        for task in self._leading:
            task.cancel()
        self._leading.clear()
        futures = list(self._results.values())
        futures += [future for _, future in self._pending]
        self._results.clear()
        self._pending.clear()
        for future in futures:
            if not future.done():
                future.set_exception(LostLeadError())

    def _lead(self) -> None:
        log.info("leads term={}", self.storage.term)
        self.role = Role.LEADER
        self.leader = self.node
        self._match = {}
        self._acked = {}
        now = self._clock.monotonic()
        for voter in self.voters:
            self._acked[voter.node] = now - self.timing.lease
        self._leading = [asyncio.create_task(self._keep_peers())]
        self._pending.append((encode(Noop()), _new_future()))
        self._work.set()

    # --- the leader's side -------------------------------------------------

    async def propose(self, command: bytes) -> Answer:
        """Commit a command and return its answer.

        :param command: an encoded command message
        :returns: the answer of the state machine
        :raises NotLeaderError: when this voter does not lead: not committed
        :raises LostLeadError: when the lead was lost: it may be committed
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        future = _new_future()
        self._pending.append((command, future))
        self._work.set()
        return await future

    async def _write(self) -> None:
        # all that came in during one sync shares the next one
        while True:
            if not self._pending:
                await self._work.wait()
                continue
            async with self._lock:
                if self.role is Role.LEADER:
                    await self._write_batch()
                    self._advance()
            self._grown.set()

    async def _write_batch(self) -> None:
        batch, self._pending = self._pending, []
        storage = self.storage
        entries = []
        for offset, (command, future) in enumerate(batch, 1):
            index = storage.last_index + offset
            entries.append(Entry(storage.term, index, command))
            self._results[index] = future
        storage.append(tuple(entries))
        await asyncio.to_thread(storage.sync)
        self._synced = storage.last_index

    async def _keep_peers(self) -> None:
        tasks: dict[str, asyncio.Task] = {}
        try:
            while True:
                wanted = {
                    v.node: v for v in self.voters if v.node != self.node
                }
                for node in tasks.keys() - wanted.keys():
                    tasks.pop(node).cancel()
                for node in wanted.keys() - tasks.keys():
                    work = self._replicate(wanted[node])
                    tasks[node] = asyncio.create_task(work)
                await self._grown.wait(self.timing.heartbeat)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _replicate(self, peer: Voter) -> None:
        following = self.storage.last_index + 1
        while True:
            try:
                following = await self._push(peer, following)
            except LinkError:
                await self._clock.sleep(self.timing.heartbeat)
                continue
            if following > self._synced:
                await self._grown.wait(self.timing.heartbeat)

    async def _push(self, peer: Voter, following: int) -> int:
        storage = self.storage
        if following < storage.first_index:
            return await self._push_snapshot(peer)
        previous = following - 1
        count = max(0, min(BATCH, self._synced - previous))
        request = AppendRequest(
            storage.term,
            self.node,
            previous,
            storage.term_at(previous) or 0,
            storage.read(following, count),
            self.commit,
        )
        sent = self._clock.monotonic()
        answer = await self._transport.request(
            peer.address, request, self.timing.request
        )
        if answer.term > storage.term:
            await self._adopt_term(answer.term)
            return following
        self._acked[peer.node] = sent
        if not answer.success:
            return max(1, min(previous, answer.last_index + 1))
        matched = previous + len(request.entries)
        self._match[peer.node] = matched
        self._advance()
        return matched + 1

    async def _push_snapshot(self, peer: Voter) -> int:
        snapshot = self.storage.snapshot
        offset = 0
        while True:
            data = snapshot.data[offset : offset + CHUNK]
            done = offset + len(data) >= len(snapshot.data)
            request = SnapshotRequest(
                self.storage.term,
                self.node,
                snapshot.index,
                snapshot.term,
                offset,
                data,
                done,
            )
            sent = self._clock.monotonic()
            answer = await self._transport.request(
                peer.address, request, self.timing.request
            )
            if answer.term > self.storage.term:
                await self._adopt_term(answer.term)
                return snapshot.index + 1
            self._acked[peer.node] = sent
            if done and answer.offset == len(snapshot.data):
                return snapshot.index + 1
            offset = answer.offset

    def _advance(self) -> None:
        matches = [
            self._synced if v.node == self.node else self._match.get(v.node, 0)
            for v in self.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        # an entry of an earlier term is committed only by one of ours
        # behind it: counted alone, it could still be overwritten
        if index > self.commit:
            if self.storage.term_at(index) == self.storage.term:
                self.commit = index
                self._committed.set()

    # --- the follower's side -----------------------------------------------

    async def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Take entries or a heartbeat from the leader.

        :param request: the leader's entries
        :returns: what is synced here
        """
        async with self._lock:
            storage = self.storage
            if request.term < storage.term:
                return AppendAnswer(storage.term, False, storage.last_index)
            await self._hear(request.term, request.leader)
            known = storage.term_at(request.prev_index)
            if request.prev_index < storage.snapshot.index:
                # what the snapshot covers is committed, hence the same
                return AppendAnswer(
                    storage.term, False, storage.snapshot.index
                )
            if known != request.prev_term:
                back = min(storage.last_index, request.prev_index - 1)
                return AppendAnswer(storage.term, False, back)
            await self._store(request.entries)
            last = request.prev_index + len(request.entries)
            if min(request.commit, last) > self.commit:
                self.commit = min(request.commit, last)
                self._committed.set()
            return AppendAnswer(storage.term, True, last)

    async def _hear(self, term: int, leader: str) -> None:
        if term > self.storage.term:
            await self._save_vote(term, "")
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._follow(leader)
        self._heard = self._clock.monotonic()

    async def _store(self, entries: tuple[Entry, ...]) -> None:
        storage = self.storage
        fresh = [e for e in entries if storage.term_at(e.index) != e.term]
        if not fresh:
            return
        if fresh[0].index <= storage.last_index:
            storage.truncate(fresh[0].index)
        storage.append(tuple(fresh))
        await asyncio.to_thread(storage.sync)
        self._synced = storage.last_index

    async def handle_snapshot(
        self, request: SnapshotRequest
    ) -> SnapshotAnswer:
        """Take a part of the leader's snapshot.

        :param request: the next part
        :returns: how much is held
        """
        async with self._lock:
            storage = self.storage
            if request.term < storage.term:
                return SnapshotAnswer(storage.term, 0)
            await self._hear(request.term, request.leader)
            if request.offset == 0:
                self._incoming.clear()
            if request.offset != len(self._incoming):
                return SnapshotAnswer(storage.term, len(self._incoming))
            self._incoming += request.data
            held = len(self._incoming)
            if request.done and request.last_index > self.machine.index:
                await self._install(request)
            return SnapshotAnswer(storage.term, held)

    async def _install(self, request: SnapshotRequest) -> None:
        data = bytes(self._incoming)
        snapshot = Snapshot(request.last_index, request.last_term, data)
        storage = self.storage
        if storage.term_at(snapshot.index) != snapshot.term:
            storage.truncate(storage.first_index)
        await asyncio.to_thread(storage.save_snapshot, snapshot)
        self._synced = storage.last_index
        self.machine.restore(snapshot)
        self.commit = max(self.commit, snapshot.index)

    # --- applying ----------------------------------------------------------

    async def _apply(self) -> None:
        while True:
            while self.machine.index < self.commit:
                self._apply_next()
            covered = self.machine.index - self.storage.snapshot.index
            if covered >= SNAPSHOT_EVERY:
                await self._compact()
            if self.machine.index >= self.commit:
                await self._committed.wait(self.timing.heartbeat)

    def _apply_next(self) -> None:
        index = self.machine.index + 1
        (entry,) = self.storage.read(index, 1)
        answer = self.machine.apply(entry)
        future = self._results.pop(index, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _compact(self) -> None:
        async with self._lock:
            snapshot = self.machine.take_snapshot()
            await asyncio.to_thread(self.storage.save_snapshot, snapshot)

    async def read_barrier(self) -> int:
        """Return an index that all committed entries are at or below.

        :returns: the commit index, confirmed by the leader lease
        :raises NotLeaderError: when this voter holds no lease, or has not
            committed an entry of its term yet
        """
        if not self.leads():
            raise NotLeaderError(self.leader)
        if self.storage.term_at(self.commit) != self.storage.term:
            raise NotLeaderError("")
        return self.commit


def _new_future() -> asyncio.Future:
    future = asyncio.get_running_loop().create_future()
    # nobody may be waiting any more when the lead is lost
    future.add_done_callback(_take_exception)
    return future


def _take_exception(future: asyncio.Future) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        future.exception()
