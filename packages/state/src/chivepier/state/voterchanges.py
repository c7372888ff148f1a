"""Changing the set of voters, one at a time."""

import collections.abc
import contextlib

import logbook

from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import InForceCommand
from chivepier.messages import LeaveCommand
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.messages import VoterState
from chivepier.state.core import Core
from chivepier.state.lostleaderror import LostLeadError
from chivepier.state.notleadererror import NotLeaderError
from chivepier.state.tenure import Tenure
from chivepier.state.votersets import PREFIX
from chivepier.types import ErrorKind
from chivepier.types import RequestError

log = logbook.Logger("state")

# what lost voters may have reached meanwhile by elections among themselves
RECOVERY_TERMS = 1000
TELL_BEATS = 5
# Seconds that a change waits for a leader that has just begun to be confirmed;
# with a majority that answers, a round trip and a sync.
SETTLE_SECONDS = 2.0
# Seconds between two looks whether it is.
LOOK_SECONDS = 0.05


class VoterChanges:
    """Adds, removes and, by force, resets voters.

    Majorities of two sets that differ by one voter always meet; of sets
    that differ by two they may not, and two leaders could commit.  So a
    change begins only when the one before is committed, and under a leader
    that has committed an entry of its own term.
    """

    def __init__(self, core: Core):
        self._core = core
        self._busy = False

    def refuse_raw(self, command: bytes) -> None:
        """Refuse a change of voters that went round these rules.

        :param command: an encoded command message
        :raises ValueError: when it is a :class:`VotersCommand`
        """
        if command.startswith(PREFIX):
            raise ValueError("voters are not changed by a plain command")

    @contextlib.asynccontextmanager
    async def _alone(self) -> collections.abc.AsyncIterator[Tenure]:
        core, tenure = self._core, self._core.tenure
        if tenure is None:
            raise NotLeaderError(core.leader)
        await self._await_settled(tenure)
        if self._busy or core.sets.latest_index > core.commit:
            text = "another change of voters is under way"
            raise RequestError.of(ErrorKind.IN_PROGRESS, text)
        self._busy = True
        try:
            yield tenure
        finally:
            self._busy = False
            tenure.learner = None

    async def _await_settled(self, tenure: Tenure) -> None:
        """Wait until a leader knows of all that is committed.

        :raises LostLeadError: when it leads no more
        :raises RequestError: when no majority confirms it in time
        """
        core = self._core
        end = core.clock.monotonic() + SETTLE_SECONDS
        while not tenure.settled():
            if not tenure.current:
                raise LostLeadError()
            if core.clock.monotonic() >= end:
                text = "the leader is new, and no majority has confirmed it"
                raise RequestError.of(ErrorKind.IN_PROGRESS, text)
            await core.clock.sleep(LOOK_SECONDS)

    async def add(self, voter: Voter) -> None:
        """Bring an instance's log up to date, then give it a vote.

        Returns once it holds, synced, everything up to its own vote: losing
        another voter right after that loses nothing.

        :param voter: the new voter; it takes entries already
        :raises NotLeaderError: when this voter does not lead
        :raises LostLeadError: when the lead was lost; ask again
        :raises RequestError: when another change is under way
        """
        core = self._core
        async with self._alone() as tenure:
            if voter not in core.voters:
                self._refuse_moved(voter)
                tenure.learner = voter
                tenure.grown.set()
                await self._await_match(tenure, voter.node)
                await self._commit(tenure, (*core.voters, voter))
                log.info("voter added node={}", voter.node)
            await self._await_match(tenure, voter.node)

    def _refuse_moved(self, voter: Voter) -> None:
        for known in self._core.voters:
            if known.node == voter.node:
                text = f"{voter.node} is a voter at {known.address}: remove it"
                raise RequestError.of(ErrorKind.VERSION_CONFLICT, text)

    async def remove(self, node: str) -> None:
        """Take a vote away.

        :param node: the voter's identity
        :raises NotLeaderError: when this voter does not lead
        :raises LostLeadError: when the lead was lost; ask again
        :raises RequestError: when another change is under way, or the other
            voters would have no majority that answers
        """
        core = self._core
        async with self._alone() as tenure:
            rest = tuple(v for v in core.voters if v.node != node)
            if rest == core.voters:
                return
            live = [v for v in rest if self._answers(tenure, v.node)]
            if 2 * len(live) <= len(rest):
                text = f"only {len(live)} of {len(rest)} would answer"
                raise RequestError.of(ErrorKind.NO_QUORUM, text)
            (gone,) = set(core.voters) - set(rest)
            await self._commit(tenure, rest)
            log.info("voter removed node={}", node)
            await self._tell(tenure, gone)

    async def _tell(self, tenure: Tenure, gone: Voter) -> None:
        # one that still runs learns that it is no voter any more, and goes
        # on as an instance without a vote
        tenure.learner = gone
        for _ in range(TELL_BEATS):
            if not tenure.current or not self._answers(tenure, gone.node):
                return
            await tenure.grown.wait()

    def _answers(self, tenure: Tenure, node: str) -> bool:
        return self._silent(tenure, node) < self._core.timing.election

    def measure_silence(self, node: str) -> float:
        """Return for how many seconds a voter has not answered this leader.

        Who never has, is silent since this leader's term began; the leader
        before since it was last heard, once it has had the time to answer.

        :param node: the voter's identity
        :returns: seconds
        :raises NotLeaderError: when this voter does not lead
        """
        core, tenure = self._core, self._core.tenure
        if tenure is None:
            raise NotLeaderError(core.leader)
        if node == core.node or node in tenure.acked:
            return self._silent(tenure, node)
        now = core.clock.monotonic()
        led = now - tenure.started
        if node == core.last_leader and led > core.timing.request:
            return now - core.last_leader_heard
        return led

    def has_answered(self, node: str) -> bool:
        """Tell whether a voter has answered this leader in its term.

        :param node: the voter's identity
        :raises NotLeaderError: when this voter does not lead
        """
        core, tenure = self._core, self._core.tenure
        if tenure is None:
            raise NotLeaderError(core.leader)
        return node == core.node or node in tenure.acked

    def _silent(self, tenure: Tenure, node: str) -> float:
        if node == self._core.node:
            return 0.0
        heard = tenure.acked.get(node, float("-inf"))
        return self._core.clock.monotonic() - heard

    async def _await_match(self, tenure: Tenure, node: str) -> None:
        core = self._core
        while node != core.node and not self._holds(tenure, node):
            if not tenure.current:
                raise LostLeadError()
            await tenure.grown.wait()

    def _holds(self, tenure: Tenure, node: str) -> bool:
        if node == self._core.node:
            return True
        return tenure.match.get(node, 0) >= self._core.commit

    async def _commit(self, tenure: Tenure, voters: tuple[Voter, ...]) -> None:
        if not tenure.current:
            raise LostLeadError()
        await tenure.propose(encode(VotersCommand(voters)))

    def report(self) -> tuple[VoterState, ...]:
        """Tell what each voter holds, as the leader knows it.

        :returns: one item per voter, in the log's order
        :raises NotLeaderError: when this voter does not lead
        """
        core, tenure = self._core, self._core.tenure
        if tenure is None:
            raise NotLeaderError(core.leader)
        return tuple(self._describe(tenure, v) for v in core.voters)

    def _describe(self, tenure: Tenure, voter: Voter) -> VoterState:
        held = tenure.match.get(voter.node, 0)
        if voter.node == self._core.node:
            held = tenure.synced
        holds = self._holds(tenure, voter.node)
        return VoterState(
            voter.node,
            voter.address,
            held,
            holds and self._answers(tenure, voter.node),
        )

    def repaired(self) -> bool:
        """Tell whether every voter answers and holds all that is committed.

        :returns: false also while the set itself is not yet committed
        """
        if self._core.sets.latest_index > self._core.commit:
            return False
        return all(state.holds for state in self.report())

    async def settle(self) -> None:
        """Return once the voters are repaired, or will not be for long.

        A voter that is merely a moment behind is waited for; one that is
        gone is not.

        :raises NotLeaderError: when this voter does not lead any more
        """
        core = self._core
        end = core.clock.monotonic() + core.timing.election
        while not self.repaired() and core.clock.monotonic() < end:
            await core.tenure.grown.wait()

    async def force(
        self,
        address: str,
        cluster: str,
        gone: frozenset[str],
        rename: collections.abc.Callable[[str], collections.abc.Awaitable],
    ) -> int:
        """Make this voter the only one; what others held alone is lost.

        Never called by the system itself: only an operator can know that the
        other disks won't come back.  The cluster gets a new name, so that a
        voter left behind by mistake is refused and not mixed in.

        :param address: this voter's peer address
        :param cluster: the cluster's new name
        :param gone: the voters that the operator says are stopped for good;
            they leave as members too, or a majority of them that might still
            renew each other's leases would keep every change from being in
            force
        :param rename: keeps it, synced; comes first, as after a crash half
            way a renamed voter is merely alone and the order can be repeated
        :returns: the last index that is kept
        :raises RequestError: when a leader is there
        :raises StorageFailedError: when its disk refuses writes
        """
        core = self._core
        async with core.lock:
            core.check(core.cluster, core.node)
            if core.tenure is not None or core.quiet() < core.timing.election:
                text = "a leader is there, or was a moment ago"
                raise RequestError.of(ErrorKind.VERSION_CONFLICT, text)
            kept = core.storage.last_index
            await core.store(rename(cluster))
            core.cluster = cluster
            term = core.storage.term + RECOVERY_TERMS
            await core.save_vote(term, core.node)
            commands = self._recover(address, gone, kept)
            entries = [
                Entry(term, index, encode(command))
                for index, command in enumerate(commands, kept + 1)
            ]
            await core.append(tuple(entries))
            log.warning("forced recovery kept={} term={}", kept, term)
            return kept

    def _recover(self, address: str, gone: frozenset[str], kept: int) -> list:
        commands: list = [VotersCommand((Voter(self._core.node, address),))]
        commands += [
            LeaveCommand(member.node, member.incarnation)
            for member in self._core.machine.members.values()
            if member.node in gone
        ]
        commands.append(InForceCommand(kept + len(commands)))
        return commands
