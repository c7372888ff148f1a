"""What the parts of one voter share."""

import asyncio
import collections.abc
import contextlib
import random
import typing

import logbook

from chivepier.messages import AppendRequest
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.state.damagederror import DamagedError
from chivepier.state.heldlock import HeldLock
from chivepier.state.machine import Machine
from chivepier.state.role import Role
from chivepier.state.storage import Storage
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.state.timing import Timing
from chivepier.state.transport import Transport
from chivepier.state.votersets import VoterSets
from chivepier.types import Clock
from chivepier.types import Signal
from chivepier.wire import LinkError
from chivepier.wire import RefusedError

if typing.TYPE_CHECKING:
    from chivepier.state.tenure import Tenure

log = logbook.Logger("state")


class Core:
    """Role, log and state of one voter.

    Whoever changes term, vote or log holds :attr:`lock` until the change is
    synced.  ``tenure`` is set exactly while this voter leads.
    """

    def __init__(
        self,
        node: str,
        cluster: str,
        storage: Storage,
        machine: Machine,
        transport: Transport,
        clock: Clock,
        timing: Timing,
        rng: random.Random,
    ):
        self.node = node
        self.cluster = cluster
        self.storage = storage
        self.machine = machine
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self.rng = rng
        self.lock = HeldLock(clock)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.tenure: Tenure | None = None
        self.commit = storage.snapshot.index
        self.committed = Signal()
        # when the write began that is under way
        self.writing_since: float | None = None
        # why it takes no part until its disk accepts writes again, and since
        # when
        self.refusal: Exception | None = None
        self.refused_at = 0.0
        self.suspended = Signal()
        self._resignations: set[asyncio.Task] = set()
        self.error: Exception | None = None
        self.failed = Signal()
        # a restarted voter has forgotten whom it heard: by waiting as if it
        # had just heard a leader it can't help to break that leader's lease
        self.heard = clock.monotonic()
        # when it last held all that its leader said was committed
        self.current_at = float("-inf")
        # the leader that was heard last, and when; its silence is known to
        # whoever leads next
        self.last_leader = ""
        self.last_leader_heard = self.heard
        if storage.snapshot.data:
            machine.restore(storage.snapshot)
        self.sets = VoterSets()
        self.sets.reset(
            storage.snapshot.index, machine.voters, storage.entries
        )
        if storage.refusal is not None:
            self.suspend(storage.refusal)

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voters by the latest entry in the log, committed or not."""
        return self.sets.latest

    def is_voter(self) -> bool:
        """Tell whether this instance has a vote."""
        return any(v.node == self.node for v in self.voters)

    def quiet(self) -> float:
        """Seconds since a leader was heard or a vote was given."""
        return self.clock.monotonic() - self.heard

    def release(self, leader: str, term: int) -> None:
        """Owe a leader nothing more, at its own word.

        It never leads again in that term, however late its word comes.

        :param leader: the leader that has resigned
        :param term: the term that it led in
        """
        if term != self.storage.term or leader != self.leader:
            return
        self.follow("")
        timing, now = self.timing, self.clock.monotonic()
        self.last_leader_heard = now
        self.heard = now - timing.election - timing.spread

    def leads(self) -> bool:
        """Tell whether this voter leads and its lease has not run out."""
        return self.tenure is not None and self.tenure.holds_lease()

    def follow(self, leader: str) -> None:
        """Stop leading or standing.

        :param leader: whom to follow; empty when nobody is known
        """
        if leader != self.leader:
            log.info("follows leader={} term={}", leader, self.storage.term)
        tenure, self.tenure = self.tenure, None
        self.role = Role.FOLLOWER
        self.leader = leader
        if tenure is not None:
            tenure.end()

    async def save_vote(self, term: int, vote: str) -> None:
        """Keep term and vote, synced; the lock is held.

        :param term: not lower than before
        :param vote: the candidate voted for, or empty
        """
        self._check_disk()
        if term > self.storage.term and self.role is Role.LEADER:
            # the term a leader leads in never changes under it
            self.follow("")
        await self.store(self.storage.save_vote(term, vote))

    async def adopt_term(self, term: int) -> None:
        """Take over a later term that a peer told.

        :param term: the peer's term
        """
        async with self.lock:
            if term > self.storage.term:
                await self.save_vote(term, "")
                self.follow("")

    async def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries, synced on return; the lock is held.

        :param entries: what follows the log's last entry
        """
        self._check_disk()
        self.storage.append(entries)
        self.sets.add(entries)
        await self.store(self.storage.sync())

    def truncate(self, index: int) -> None:
        """Drop entries that another leader overwrites.

        :param index: the first to be dropped
        :raises DamagedError: when it is committed: by no leader's right
        """
        if index <= self.commit:
            text = f"log: a leader overwrites committed index {index}"
            error = DamagedError(text)
            self.fail(error)
            raise error
        self.storage.truncate(index)
        self.sets.truncate(index)

    def raise_commit(self, index: int) -> None:
        """Note that entries up to an index are committed.

        :param index: log index
        """
        if index > self.commit:
            self.commit = index
            self.committed.set()

    async def store(self, work: collections.abc.Awaitable) -> None:
        """Wait for a write of the storage; the lock is held.

        :param work: the storage's coroutine
        :raises StorageFailedError: when it failed
        :raises DamagedError: when a file is damaged
        """
        task = asyncio.ensure_future(work)
        self.writing_since = self.clock.monotonic()
        try:
            await _finish(task)
        except DamagedError:
            raise
        except Exception as error:
            raise StorageFailedError(repr(error)) from error
        finally:
            self.writing_since = None
            self._note_end(task)

    def _note_end(self, task: asyncio.Task) -> None:
        # also where the waiter was cancelled: the log would go on behind a
        # torn record, and memory would answer for what isn't written
        error = None if task.cancelled() else task.exception()
        # a write for which there is no thread or no memory reaches the disk
        # no more than one that it refuses
        if isinstance(error, Exception) and not isinstance(
            error, DamagedError
        ):
            self.suspend(error)

    def _check_disk(self) -> None:
        if self.refusal is not None:
            raise StorageFailedError(repr(self.refusal))

    def suspend(self, error: Exception) -> None:
        """Take no part while the disk refuses writes.

        Memory may be ahead of the disk now, so nothing is answered for until
        the folder was read and written anew.

        :param error: how a write was refused, or failed
        """
        if self.refusal is None:
            log.warning("disk refuses writes error={!r}", error)
            self.refused_at = self.clock.monotonic()
        self.refusal = error
        if self.tenure is not None:
            self.tenure.resign()
        elif self.role is not Role.FOLLOWER:
            self.follow("")
        self.suspended.set()

    def resume(self) -> None:
        """Take part again, from what the disk holds; the lock is held.

        What was promised to a leader in time still holds, as memory kept it.

        :raises DamagedError: when the disk lacks what is committed
        """
        storage, machine = self.storage, self.machine
        if storage.last_index < self.commit:
            text = f"log: ends at {storage.last_index} of {self.commit}"
            raise DamagedError(text)
        if storage.snapshot.index > machine.index:
            machine.restore(storage.snapshot)
        self.raise_commit(storage.snapshot.index)
        later = storage.read(
            max(machine.index + 1, storage.first_index), len(storage.entries)
        )
        self.sets.reset(machine.index, machine.voters, later)
        seconds = self.clock.monotonic() - self.refused_at
        log.warning("disk accepts writes after={:.2f}", seconds)
        self.refusal = None
        self.committed.set()

    def fail(self, error: Exception) -> None:
        """Stop taking part for good: the data folder can't be trusted.

        :param error: the first error that was met
        """
        if self.error is not None:
            return
        log.error("voter stops error={!r}", error)
        self.error = error
        self.follow("")
        self.failed.set()
        self.committed.set()

    def announce(self, peer: Voter, resignation: AppendRequest) -> None:
        """Tell a voter that this one leads no more, without waiting for it.

        :param peer: the voter
        :param resignation: the message for it
        """
        task = asyncio.create_task(self._tell(peer, resignation))
        self._resignations.add(task)
        task.add_done_callback(self._resignations.discard)

    async def _tell(self, peer: Voter, resignation: AppendRequest) -> None:
        try:
            await self.ask(peer.address, resignation)
        except LinkError as error:
            # the lease that it waits for runs out all the same
            log.info("not told to elect node={} error={}", peer.node, error)

    async def ask(self, address: str, message: typing.Any) -> typing.Any:
        """Ask another voter.

        :param address: its address
        :param message: the message
        :returns: its answer
        :raises LinkError: when there is none, for whatever reason: a fault of
            one message must not stop this voter for good
        """
        try:
            return await self.transport.request(
                address, message, self.timing.request
            )
        except LinkError:
            raise
        except Exception as error:
            raise LinkError(repr(error), sent=True) from error

    async def guard(self, work: collections.abc.Awaitable) -> None:
        """Run a task of this voter; an error stops the voter.

        A task that ended alone would leave a voter that answers but never
        stands, applies or writes.

        :param work: the task's coroutine
        """
        try:
            await work
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            # what it waited for was cancelled, not this task
            self.fail(RuntimeError("a task of this voter was cancelled"))
        except Exception as error:
            self.fail(error)

    def check(self, cluster: str, voter: str) -> None:
        """Refuse a peer's message where this voter may not answer it.

        An instance that lost its folder has a new identity at the address of
        its old one: by answering for both it would count twice in a
        majority.

        :param cluster: the cluster the peer says it belongs to
        :param voter: the identity the message is for
        :raises StorageFailedError: when its disk refuses writes, or it has
            stopped
        :raises RefusedError: when the peer belongs to another cluster: a
            voter left behind by a forced recovery, or a wrong address; or
            when the message is for another identity
        """
        if (error := self.error or self.refusal) is not None:
            raise StorageFailedError(repr(error))
        self.check_names(cluster, voter)

    def check_names(self, cluster: str, voter: str) -> None:
        """Refuse a message that is for another voter.

        :param cluster: the cluster the peer says it belongs to
        :param voter: the identity the message is for
        :raises RefusedError: as :meth:`check` does
        """
        if cluster and self.cluster and cluster != self.cluster:
            raise RefusedError(f"of another cluster: {cluster}")
        if voter and voter != self.node:
            raise RefusedError(f"for another voter: {voter}")


async def _finish(task: asyncio.Task) -> None:
    # a cancelled waiter must not let the lock go while a thread still
    # writes: the next writer's records would be mixed with these
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        while not task.done():
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait([task])
        raise
