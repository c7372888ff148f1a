"""One term's leadership: writing, replicating and committing."""

import asyncio
import contextlib

import logbook

from chivepier.messages import AppendRequest
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Noop
from chivepier.messages import Voter
from chivepier.state.answer import Answer
from chivepier.state.busyleadererror import BusyLeaderError
from chivepier.state.core import Core
from chivepier.state.lostleaderror import LostLeadError
from chivepier.state.replication import Replication
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.types import Signal

log = logbook.Logger("state")

MAX_COMMAND = 4 << 20
# Bytes of commands that may wait for a write: more than the disk takes in the
# time for which a proposer waits.
MAX_WAITING_BYTES = 16 << 20


class Tenure:
    """What a leader knows in one term; a new term starts with nothing.

    :attr:`term` never changes: requests that are still under way when the
    lead is lost must not pass for those of a later term's leader.
    """

    def __init__(self, core: Core):
        self._core = core
        self.term = core.storage.term
        self.synced = core.storage.last_index
        self.grown = Signal()
        self.match: dict[str, int] = {}
        self.acked: dict[str, float] = {}
        self.learner: Voter | None = None
        self.started = core.clock.monotonic()
        self._results: dict[int, asyncio.Future] = {}
        self._pending: list[tuple[bytes, asyncio.Future]] = []
        self._waiting_bytes = 0
        self._work = Signal()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to lead with an entry of this term."""
        self._pending.append((encode(Noop()), _new_future()))
        for work in (self._write(), self._keep_peers(), self._beat()):
            task = asyncio.create_task(self._core.guard(work))
            self._tasks.append(task)

    def resign(self) -> None:
        """Stop at once, and let the others elect another leader at once."""
        core = self._core
        core.follow("")
        for peer in core.voters:
            if peer.node != core.node:
                core.announce(peer, self._make_resignation(peer))

    def _make_resignation(self, peer: Voter) -> AppendRequest:
        core = self._core
        return AppendRequest(
            self.term,
            core.node,
            0,
            0,
            (),
            0,
            core.cluster,
            peer.node,
            leads=False,
            ends=True,
        )

    def end(self) -> None:
        """Stop at once; commands under way may be committed or not."""
        for task in self._tasks:
            task.cancel()
        futures = list(self._results.values())
        futures += [future for _, future in self._pending]
        self._results.clear()
        self._pending.clear()
        for future in futures:
            if not future.done():
                future.set_exception(LostLeadError())
        self.grown.set()

    @property
    def current(self) -> bool:
        """Whether this is still the term that this voter leads in."""
        return self._core.tenure is self

    def holds_lease(self) -> bool:
        """Tell whether no other leader can have been elected."""
        return self._core.clock.monotonic() < self.lease_end()

    def lease_end(self) -> float:
        """Return when the leader's lease runs out, in monotonic seconds.

        It counts only what was acknowledged in this term: a voter that had
        answered an earlier leader has promised this one nothing.
        """
        core = self._core
        nodes = [v.node for v in core.voters]
        own = 1 if core.node in nodes else 0
        needed = len(nodes) // 2 + 1 - own
        if needed <= 0:
            return float("inf")
        unheard = self.started - core.timing.lease
        times = [
            self.acked.get(node, unheard)
            for node in nodes
            if node != core.node
        ]
        times.sort(reverse=True)
        return times[needed - 1] + core.timing.lease

    def propose(self, command: bytes) -> asyncio.Future:
        """Queue a command for the next write.

        :param command: an encoded command message
        :returns: the future of its answer
        :raises ValueError: when it is too large for the peer links
        :raises BusyLeaderError: when too many bytes wait for the disk
        """
        if len(command) > MAX_COMMAND:
            # an entry that no frame can carry would stop replication
            raise ValueError(f"command of {len(command)} bytes")
        if self._waiting_bytes + len(command) > MAX_WAITING_BYTES:
            # while a disk stalls, proposers give up and propose again; all
            # of it would be held until the disk goes on
            raise BusyLeaderError(self._core.node)
        self._waiting_bytes += len(command)
        future = _new_future()
        self._pending.append((command, future))
        self._work.set()
        return future

    def settle(self, index: int, answer: Answer) -> None:
        """Hand an applied command's answer to its proposer.

        :param index: the entry's index
        :param answer: what the state machine said
        """
        future = self._results.pop(index, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _beat(self) -> None:
        while self.current:
            await self._core.clock.sleep(self._core.timing.heartbeat)
            self.grown.set()

    async def _write(self) -> None:
        # all that came in during one sync shares the next one
        while self.current:
            if not self._pending:
                await self._work.wait()
                continue
            try:
                async with self._core.lock:
                    if self.current:
                        await self._write_batch()
            except StorageFailedError:
                return

    async def _write_batch(self) -> None:
        core = self._core
        batch, self._pending = self._pending, []
        self._waiting_bytes = 0
        entries = []
        for command, future in batch:
            index = core.storage.last_index + len(entries) + 1
            entries.append(Entry(self.term, index, command))
            self._results[index] = future
        await core.append(tuple(entries))
        self.synced = core.storage.last_index
        self.advance()
        self.grown.set()

    async def _keep_peers(self) -> None:
        core = self._core
        tasks: dict[Voter, asyncio.Task] = {}
        try:
            while self.current:
                wanted = {v for v in core.voters if v.node != core.node}
                if self.learner is not None:
                    wanted.add(self.learner)
                for peer in tasks.keys() - wanted:
                    tasks.pop(peer).cancel()
                for peer in sorted(
                    wanted - tasks.keys(), key=lambda v: v.node
                ):
                    replication = Replication(core, self, peer)
                    tasks[peer] = asyncio.create_task(
                        core.guard(replication.run())
                    )
                await self.grown.wait()
        finally:
            for task in tasks.values():
                task.cancel()

    def note_match(self, node: str, index: int) -> None:
        """Note that a peer holds, synced, the log up to an index.

        :param node: the peer
        :param index: log index
        """
        if index > self.match.get(node, 0):
            self.match[node] = index
            self.advance()

    def advance(self) -> None:
        """Commit what a majority of the voters holds."""
        core = self._core
        if not self.current or not core.voters:
            return
        matches = [
            self.synced if v.node == core.node else self.match.get(v.node, 0)
            for v in core.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        # an entry of an earlier term is committed only by one of ours
        # behind it: counted alone, it could still be overwritten
        if index > core.commit and core.storage.term_at(index) == self.term:
            core.raise_commit(index)
            # the others apply it now, not at the next heartbeat
            self.grown.set()

    def settled(self) -> bool:
        """Tell whether an entry of this term is committed and applied.

        Until then the leader may not know of all that is committed.
        """
        core = self._core
        return (
            core.storage.term_at(core.commit) == self.term
            and core.machine.index >= core.commit
        )


def _new_future() -> asyncio.Future:
    future = asyncio.get_running_loop().create_future()
    # nobody may be waiting any more when the lead is lost
    future.add_done_callback(_take_exception)
    return future


def _take_exception(future: asyncio.Future) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        future.exception()
