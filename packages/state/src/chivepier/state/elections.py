"""Elections: standing for the lead and answering those who stand."""

import asyncio

import attrs
import logbook

from chivepier.messages import VoteAnswer
from chivepier.messages import VoteRequest
from chivepier.state.attempts import Attempts
from chivepier.state.ballot import Ballot
from chivepier.state.ballot import GRANTED
from chivepier.state.ballot import UNANSWERED
from chivepier.state.candidacy import Candidacy
from chivepier.state.core import Core
from chivepier.state.electionlog import ElectionLog
from chivepier.state.prevotes import PreVotes
from chivepier.state.role import Role
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.state.tenure import Tenure
from chivepier.wire import LinkError

log = logbook.Logger("state")

REFUSED = "refused"


class Elections:
    """One task that stands when no leader is heard.

    :ivar log: what is said in elections
    :ivar attempts: when it stood
    """

    def __init__(self, core: Core):
        self._core = core
        self.log = ElectionLog()
        self.attempts = Attempts(core.clock)
        self._pre_votes = PreVotes(core.clock, core.timing.request)

    async def watch(self) -> None:
        """Stand for the lead whenever no leader is heard for long."""
        core, timing = self._core, self._core.timing
        timeout = self._draw_timeout()
        stood = heard = core.heard
        while core.error is None:
            await core.clock.sleep(timing.heartbeat)
            if core.tenure is not None:
                self._check_lease()
            else:
                self._forget_silent_leader()
            if core.heard != heard:
                heard = core.heard
                self._pre_votes.forget()
                timeout = self._draw_timeout()
            waited = core.clock.monotonic() - max(heard, stood)
            if self._may_stand() and waited >= timeout:
                self.attempts.begin()
                self.attempts.end(await self._try())
                stood = core.clock.monotonic()
                timeout = self._draw_retry()

    def _may_stand(self) -> bool:
        core = self._core
        return core.tenure is None and core.refusal is None and core.is_voter()

    def _draw_timeout(self) -> float:
        timing = self._core.timing
        return timing.election + self._core.rng.random() * timing.spread

    def _draw_retry(self) -> float:
        # pre-votes cost nothing: one that came too early for a voter that
        # has just started must not cost a whole timeout
        timing = self._core.timing
        return timing.heartbeat + self._core.rng.random() * timing.request

    def _check_lease(self) -> None:
        core = self._core
        silent = core.clock.monotonic() - core.tenure.lease_end()
        if silent > core.timing.election:
            log.warning("leader steps down: no majority answers")
            core.follow("")

    def _forget_silent_leader(self) -> None:
        # who lost its vote while it was away hears nobody any more; as long
        # as it believed in a leader it would ask for no other vote, and ask
        # an address that may be gone
        core = self._core
        silent = core.clock.monotonic() - core.last_leader_heard
        if core.leader and silent >= core.timing.election:
            core.follow("")

    async def _try(self) -> str:
        try:
            return await self._stand()
        except StorageFailedError:
            # whose vote can't be saved doesn't stand
            return "vote not saved"

    async def _stand(self) -> str:
        """Stand for the lead, and return how that ended."""
        core = self._core
        if not self._pre_votes.may_stand(self._describe_candidacy()):
            promised = self._pre_votes.find_promised()
            return f"pre-vote is promised to {promised.node}"
        try:
            if not await self._collect(core.storage.term + 1, pre=True):
                self._pre_votes.note_failure(core.node)
                return "no majority of pre-votes"
            return await self._stand_in_earnest()
        finally:
            self._pre_votes.withdraw(core.node)

    def _describe_candidacy(self) -> Candidacy:
        storage = self._core.storage
        return Candidacy(
            storage.last_term, storage.last_index, self._core.node
        )

    async def _stand_in_earnest(self) -> str:
        core = self._core
        async with core.lock:
            if not self._renew_candidacy():
                return "another one has a longer log"
            if core.quiet() < core.timing.election or core.tenure is not None:
                # a leader was heard, or a vote given, meanwhile: voting for
                # itself would break the lease that the leader counts on
                return "heard a leader, or voted"
            term = core.storage.term + 1
            await core.save_vote(term, core.node)
            core.follow("")
            core.role = Role.CANDIDATE
        won = await self._collect(term, pre=False)
        async with core.lock:
            if not won or core.storage.term != term:
                return "no majority of votes" if not won else "later term"
            if core.role is not Role.CANDIDATE or core.error is not None:
                return "stands no more"
            self._lead()
            return "leads"

    def _renew_candidacy(self) -> bool:
        """Tell whether no candidate with a longer log came meanwhile.

        One that is better by its identity alone may be unable to win.
        """
        own, votes = self._describe_candidacy(), self._pre_votes
        rival = votes.find_promised()
        if rival is not None:
            if rival.has_longer_log(own):
                return False
            votes.withdraw(rival.node)
        return votes.promise(own)

    def _lead(self) -> None:
        core = self._core
        log.info("leads term={}", core.storage.term)
        core.role = Role.LEADER
        core.leader = core.node
        core.tenure = Tenure(core)
        core.tenure.start()

    async def _collect(self, term: int, pre: bool) -> bool:
        core, storage = self._core, self._core.storage
        request = VoteRequest(
            term,
            core.node,
            storage.last_index,
            storage.last_term,
            pre,
            core.cluster,
        )
        voters = core.voters
        asked = {
            v.node: asyncio.create_task(
                self._ask(v.address, attrs.evolve(request, voter=v.node))
            )
            for v in voters
            if v.node != core.node
        }
        won = await self._await_majority(asked, len(voters) // 2 + 1)
        ballot = Ballot(
            term=term,
            is_pre=pre,
            is_won=won,
            last_term=request.last_term,
            last_index=request.last_index,
            voters=tuple(v.node for v in voters),
            answers={
                node: task.result() if task.done() else UNANSWERED
                for node, task in asked.items()
            },
        )
        self.log.write_ballot(ballot)
        return won

    async def _await_majority(
        self, asked: dict[str, asyncio.Task], needed: int
    ) -> bool:
        """Tell whether a majority grants its vote, own vote included."""
        votes = 1
        waiting = set(asked.values())
        try:
            while votes < needed and waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                votes += sum(task.result() == GRANTED for task in done)
        finally:
            for task in waiting:
                task.cancel()
        return votes >= needed

    async def _ask(self, address: str, request: VoteRequest) -> str:
        """Ask one voter, and return its answer as a ballot names it."""
        core = self._core
        try:
            answer = await core.ask(address, request)
        except LinkError as error:
            return str(error)
        if answer.term > core.storage.term:
            # also after a pre-vote: the only voter with the whole log may
            # have the lowest term, and nobody else can win
            try:
                await core.adopt_term(answer.term)
            except StorageFailedError as error:
                return str(error)
        return GRANTED if answer.granted else REFUSED

    async def handle_vote(self, request: VoteRequest) -> VoteAnswer:
        """Answer a candidate.

        :param request: the candidate's request
        :returns: the vote, synced
        """
        core = self._core
        async with core.lock:
            core.check(request.cluster, request.voter)
            return await self._answer(request)

    async def _answer(self, request: VoteRequest) -> VoteAnswer:
        core, storage = self._core, self._core.storage
        reason = self._find_refusal(request)
        if reason:
            self.log.write_refusal(request.candidate, request.term, reason)
        if self._is_held_back() or request.term < storage.term:
            return VoteAnswer(storage.term, False)
        granted = not reason
        if request.pre:
            return VoteAnswer(storage.term, granted)
        later = request.term > storage.term
        if later or granted:
            vote = request.candidate if granted else ""
            await core.save_vote(request.term, vote)
        if later:
            core.follow("")
        if granted:
            core.heard = core.clock.monotonic()
        return VoteAnswer(storage.term, granted)

    def _is_held_back(self) -> bool:
        # a voter cut off for long must not depose a working leader
        core = self._core
        return core.quiet() < core.timing.election or core.leads()

    def _find_refusal(self, request: VoteRequest) -> str:
        """Return why a candidate gets no vote; empty where it gets it."""
        core, storage = self._core, self._core.storage
        if core.leads():
            return "leads"
        if core.quiet() < core.timing.election:
            leader = core.leader or "nobody"
            return f"heard {leader} or voted or started a moment ago"
        if request.term < storage.term:
            return f"term is {storage.term}"
        mine = (storage.last_term, storage.last_index)
        if (request.last_term, request.last_index) < mine:
            return f"log is at {mine[0]}/{mine[1]}"
        if request.pre:
            return self._find_pre_vote_refusal(request)
        is_free = request.term > storage.term or storage.vote in (
            "",
            request.candidate,
        )
        return "" if is_free else f"voted for {storage.vote}"

    def _find_pre_vote_refusal(self, request: VoteRequest) -> str:
        if self._core.role is Role.CANDIDATE and self._is_standing():
            return "stands"
        candidacy = Candidacy(
            request.last_term, request.last_index, request.candidate
        )
        if self._pre_votes.promise(candidacy):
            return ""
        return f"prefers {self._pre_votes.find_promised().node}"

    def _is_standing(self) -> bool:
        promised = self._pre_votes.find_promised()
        return promised is not None and promised.node == self._core.node
