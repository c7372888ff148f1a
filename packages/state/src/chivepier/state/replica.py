"""A voter of the replicated log."""

import asyncio
import random

from chivepier.messages import AppendAnswer
from chivepier.messages import AppendRequest
from chivepier.messages import SnapshotAnswer
from chivepier.messages import SnapshotRequest
from chivepier.messages import VoteAnswer
from chivepier.messages import Voter
from chivepier.messages import VoteRequest
from chivepier.state.answer import Answer
from chivepier.state.applying import Applying
from chivepier.state.condition import Condition
from chivepier.state.core import Core
from chivepier.state.elections import Elections
from chivepier.state.following import Following
from chivepier.state.machine import Machine
from chivepier.state.notleadererror import NotLeaderError
from chivepier.state.recovery import Recovery
from chivepier.state.role import Role
from chivepier.state.silencelog import SilenceLog
from chivepier.state.snapshotpolicy import SnapshotPolicy
from chivepier.state.statesizes import StateSizes
from chivepier.state.storage import Storage
from chivepier.state.timing import Timing
from chivepier.state.transport import Transport
from chivepier.state.voterchanges import VoterChanges
from chivepier.types import Clock
from chivepier.types import Signal


class Replica:
    """Keeps a log with the other voters and applies what is committed.

    Term, vote and entries are synced before any reply that depends on them.
    One task watches for elections, one applies, one waits for a disk that
    refuses writes and, while it leads, one writes and one per peer replicates.

    :param node: this voter's identity
    :param storage: what it must not forget
    :param machine: what the log adds up to
    :param transport: links to the other voters
    :param clock: monotonic time
    :param timing: election and lease times
    :param rng: spreads election timeouts
    :param cluster: messages of another cluster are refused
    :param policy: when a snapshot is taken
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
        cluster: str = "",
        policy: SnapshotPolicy = SnapshotPolicy(),
    ):
        self._core = Core(
            node, cluster, storage, machine, transport, clock, timing, rng
        )
        self._elections = Elections(self._core)
        self._following = Following(self._core)
        self._applying = Applying(self._core, policy)
        self._recovery = Recovery(self._core)
        self._silence = SilenceLog(
            self._core, self._elections.log, self.describe_condition
        )
        self.changes = VoterChanges(self._core)
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Replica":
        for work in (
            self._elections.watch,
            self._applying.run,
            self._recovery.run,
            self._silence.run,
        ):
            task = asyncio.create_task(self._core.guard(work()))
            self._tasks.append(task)
        return self

    async def __aexit__(self, *exc) -> None:
        self._core.follow(self._core.leader)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def node(self) -> str:
        """This voter's identity."""
        return self._core.node

    @property
    def cluster(self) -> str:
        """The cluster whose voters this one takes part with."""
        return self._core.cluster

    @property
    def storage(self) -> Storage:
        """Term, vote, log and snapshot."""
        return self._core.storage

    @property
    def machine(self) -> Machine:
        """What the committed log adds up to."""
        return self._core.machine

    @property
    def role(self) -> Role:
        """What this voter is at the moment."""
        return self._core.role

    @property
    def leader(self) -> str:
        """The leader it follows, or itself; empty when unknown."""
        return self._core.leader

    @property
    def commit(self) -> int:
        """The index up to which entries are known to be committed."""
        return self._core.commit

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voters by the latest entry in the log, committed or not."""
        return self._core.voters

    @property
    def timing(self) -> Timing:
        """Election and lease times."""
        return self._core.timing

    @property
    def refusal(self) -> Exception | None:
        """Why its disk refuses writes; it takes no part until then."""
        return self._core.refusal

    @property
    def error(self) -> Exception | None:
        """Why this voter has stopped, if it has."""
        return self._core.error

    @property
    def failed(self) -> Signal:
        """Set when this voter stops because of an error."""
        return self._core.failed

    def measure(self) -> StateSizes:
        """Return what the log and the state take in memory.

        :returns: bytes of contents, without what the objects take
        """
        storage, machine = self.storage, self.machine
        return StateSizes(
            log=sum(len(e.command) for e in storage.entries),
            recent=sum(
                len(e.command)
                for e in machine.recent
                if e.index < storage.first_index
            ),
            documents=sum(len(d.spec) for d in machine.documents.values()),
            snapshot=len(storage.snapshot.data),
        )

    def votes(self) -> bool:
        """Tell whether this instance has a vote by its own log."""
        return self._core.is_voter()

    def feeds(self, machine: Machine) -> bool:
        """Tell whether a machine gets its entries by this voter's log.

        Entries from elsewhere lack the claims; a voter that led with such a
        machine would grant a claimed key again.

        :param machine: the node's machine
        :returns: false for a learner's node, after the voter's removal, and
            where its data folder failed: the node goes on without a vote
        """
        core = self._core
        healthy = core.error is None and self.votes()
        return healthy and core.machine is machine

    def leads(self) -> bool:
        """Tell whether this voter holds a valid leader lease.

        :returns: true while no other leader can have been elected
        """
        return self._core.leads()

    def hears_leader(self) -> bool:
        """Tell whether this voter leads, or has heard a leader of late.

        :attr:`leader` alone stays as it was while nobody is heard.
        """
        core = self._core
        return core.tenure is not None or core.quiet() < core.timing.election

    def measure_write(self) -> float:
        """Return for how many seconds a write has been under way; 0: none."""
        since = self._core.writing_since
        if since is None:
            return 0.0
        return self._core.clock.monotonic() - since

    def takes_part(self) -> bool:
        """Tell whether this instance has a vote, and can use it."""
        core = self._core
        healthy = core.error is None and core.refusal is None
        return healthy and core.is_voter()

    def describe_condition(self) -> Condition:
        """Return what keeps this voter from its part, if anything does."""
        core, attempts = self._core, self._elections.attempts
        refused = 0.0
        if core.refusal is not None:
            refused = core.clock.monotonic() - core.refused_at
        return Condition(
            stopped=repr(core.error) if core.error else "",
            refusal=repr(core.refusal) if core.refusal else "",
            refused=refused,
            writing=self.measure_write(),
            locked=core.lock.measure(),
            quiet=core.quiet(),
            attempts=attempts.count,
            stood=attempts.measure(),
            ended=attempts.ended,
        )

    def is_current(self) -> bool:
        """Tell whether all that was committed a moment ago is applied here.

        Another leader may have committed more since: the moment is at most
        the shortest election timeout.
        """
        core = self._core
        if core.machine.index < core.commit:
            return False
        if core.tenure is not None:
            return core.leads() and core.tenure.settled()
        quiet = core.clock.monotonic() - core.current_at
        return quiet < core.timing.election

    def leads_since(self) -> float | None:
        """Return when this voter began to lead, in monotonic seconds.

        :returns: ``None`` where it holds no valid lease
        """
        return self._core.tenure.started if self.leads() else None

    def lease_left(self) -> float:
        """Return for how long this voter surely leads, in seconds.

        :returns: 0 when it does not lead
        """
        core = self._core
        if core.tenure is None:
            return 0.0
        return max(0.0, core.tenure.lease_end() - core.clock.monotonic())

    async def propose(self, command: bytes) -> Answer:
        """Commit a command and return its answer.

        :param command: an encoded command message
        :returns: the answer of the state machine
        :raises NotLeaderError: when this voter does not lead, or its disk is
            too far behind: not committed
        :raises LostLeadError: when the lead was lost: it may be committed
        :raises ValueError: when it is too large, or changes the voters
        """
        if self._core.tenure is None:
            raise NotLeaderError(self.leader)
        self.changes.refuse_raw(command)
        return await self._core.tenure.propose(command)

    async def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a candidate.

        :param request: the candidate's request
        :returns: the vote, synced
        """
        return await self._elections.handle_vote(request)

    async def handle_append(self, request: AppendRequest) -> AppendAnswer:
        """Take entries or a heartbeat from the leader.

        :param request: the leader's entries
        :returns: what is synced here
        """
        return await self._following.handle_append(request)

    async def handle_snapshot(
        self, request: SnapshotRequest
    ) -> SnapshotAnswer:
        """Take a part of the leader's snapshot.

        :param request: the next part
        :returns: how much is held
        """
        return await self._following.handle_snapshot(request)

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

    def use_machine(self, machine: Machine) -> None:
        """Apply to another machine from now on, which takes the state over.

        :param machine: not newer than this voter's own
        """
        machine.take_over(self.machine)
        self._core.machine = machine
