"""Membership of the voters: join requests, additions and removals."""

import asyncio

from chivepier.gateway.control.joincandidate import JoinCandidate
from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.control.removalpolicy import RemovalPolicy
from chivepier.gateway.control.surveylog import SurveyLog
from chivepier.gateway.control.voterwatch import VoterWatch
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import JoinAnswer
from chivepier.gateway.messages import JoinRequest
from chivepier.gateway.messages import LeaveAnswer
from chivepier.gateway.messages import LeaveRequest
from chivepier.messages import Voter
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.state import Replica
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds between two checks of the voter set.
CHECK_INTERVAL_SECONDS = 0.4
# Seconds for which a join request stays valid; it is repeated at each check.
JOIN_REQUEST_TTL_SECONDS = 1.5
# Timeout of one membership check, including a change of the voter set.
CHANGE_TIMEOUT_SECONDS = 5.0
# Seconds for which a write may be under way at a voter that asks. While its
# disk stalls it can't be brought up to date, and the leader would make no
# other change meanwhile.
MAX_WRITE_SECONDS = 0.4
# Timeout of one join request to one peer.
JOIN_REQUEST_TIMEOUT_SECONDS = 0.5
# Seconds for which a voter that is about to stop tries to give up its vote;
# without a leader, the stop does not wait for longer.
LEAVE_TIMEOUT_SECONDS = 2.0
# Seconds between two such requests.
LEAVE_RETRY_SECONDS = 0.05


class Membership:
    """Requests a vote while this node has none; as leader, updates the voters.

    A voter that stops gives its vote up first, if the others can spare it;
    after a mere restart it gets one again.

    :param replica: this node's replica
    :param own_address: this node's peer address
    :param links: connections to the other nodes
    :param peers: addresses of the other nodes
    :param clock: monotonic clock
    :param log: receives changes of this node's vote and of the voter set
    :param policy: which voters are removed
    """

    def __init__(
        self,
        replica: Replica,
        own_address: str,
        links: Links,
        peers: Peers,
        clock: Clock,
        log: EventLog,
        policy: RemovalPolicy = RemovalPolicy(),
    ):
        self._replica = replica
        self._own_address = own_address
        self._links = links
        self._peers = peers
        self._clock = clock
        self._log = log
        self._candidates: dict[str, JoinCandidate] = {}
        self._policy = policy
        self._watch = VoterWatch(replica)
        self._survey = SurveyLog(log)
        self._leader = LeaderClient(replica, links)
        self._stops = False
        self._has_vote: bool | None = None

    async def run(self) -> None:
        """Check the voter set periodically until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
                    await self._check_membership()
            except (
                NotLeaderError,
                LostLeadError,
                RequestError,
                TimeoutError,
            ) as error:
                self._log.warn("seats_unchanged", error=repr(error))
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    async def _check_membership(self) -> None:
        replica = self._replica
        if replica.leads():
            await self._update_voters(replica)
            return
        self._watch.clear()
        self._survey.clear()
        if self._stops:
            return
        await self._request_vote()

    async def _request_vote(self) -> None:
        # A voter asks too: one that was removed while it was offline, cut off
        # or frozen cannot know, as it no longer receives the log. The leader
        # that it heard last may go on in the same term.
        replica = self._replica
        if replica.refusal is not None or replica.error is not None:
            # it can't be brought up to date, and the leader would try it
            # before any other
            return
        keeps_vote = replica.votes() and replica.leader
        request = JoinRequest(replica.node, self._own_address, replica.cluster)
        peers = [p for p in self._peers.all if p != self._own_address]
        if not peers or (keeps_vote and replica.hears_leader()):
            return
        if replica.measure_write() > MAX_WRITE_SECONDS:
            return
        requests = [self._send_join_request(peer, request) for peer in peers]
        answers = [a for a in await asyncio.gather(*requests) if a is not None]
        for answer in answers:
            if answer.voters:
                self._peers.learn(answer.voters)
        if answers:
            self._log_vote_status([answer.votes for answer in answers])

    async def _send_join_request(
        self, peer: str, request: JoinRequest
    ) -> JoinAnswer | None:
        try:
            return await self._links.request(
                peer, request, JOIN_REQUEST_TIMEOUT_SECONDS
            )
        except LinkError:
            return None

    def _log_vote_status(self, reported: list[bool]) -> None:
        """Log a change of this node's vote, as reported by most peers.

        Peers that have just started contradict the others until they have
        received the log.

        :param reported: one item per answer, whether the peer lists this
            node as a voter
        """
        votes = 2 * sum(reported) > len(reported)
        if votes is not self._has_vote:
            self._has_vote = votes
            self._log.info(
                "seat",
                votes=votes,
                agree=reported.count(votes),
                asked=len(reported),
            )

    def handle(self, request: JoinRequest) -> JoinAnswer:
        """Record a join request and answer it.

        :param request: identity, address and cluster of the asking instance
        :returns: whether the instance is a voter, and the current voters
        """
        replica = self._replica
        if self._is_own_cluster(request.cluster):
            voter = Voter(request.node, request.address)
            now = self._clock.monotonic()
            self._watch.note_start(request.node)
            self._candidates[request.node] = JoinCandidate(voter, now)
        voters = replica.voters
        return JoinAnswer(
            replica.cluster,
            any(v.node == request.node for v in voters),
            tuple(v.address for v in voters),
        )

    def _is_own_cluster(self, cluster: str) -> bool:
        # a node that has joined does not know the cluster's name
        own = self._replica.cluster
        return not cluster or not own or cluster == own

    async def leave(self) -> None:
        """Give up this node's vote before a planned stop.

        Returns also without success: the others remove a silent voter.
        """
        self._stops = True
        request = LeaveRequest(self._replica.node, self._replica.cluster)
        deadline = self._clock.monotonic() + LEAVE_TIMEOUT_SECONDS
        reason = "another change of the voters was under way"
        while (remaining := deadline - self._clock.monotonic()) > 0:
            try:
                answer = await self._leader.request(
                    request, remaining, self.handle_leave
                )
            except (LinkError, TimeoutError) as error:
                reason = repr(error)
            else:
                if answer.settled:
                    self._log.info("seat_left", votes=self._replica.votes())
                    return
            await self._clock.sleep(LEAVE_RETRY_SECONDS)
        self._log.warn("leave_lost", reason=reason)

    async def handle_leave(self, request: LeaveRequest) -> LeaveAnswer:
        """Remove a voter that is about to stop, if the others can spare it.

        :param request: identity and cluster of the voter
        :returns: whether it may stop
        """
        replica, node = self._replica, request.node
        if not self._is_own_cluster(request.cluster) or not replica.leads():
            return LeaveAnswer(False)
        self._watch.note_stop(node)
        self._candidates.pop(node, None)
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
                await self._remove_spare(node)
        except (NotLeaderError, LostLeadError, TimeoutError) as error:
            self._log.warn("seats_unchanged", error=repr(error))
            return LeaveAnswer(False)
        except RequestError as error:
            self._log.warn("seats_unchanged", error=repr(error))
            return LeaveAnswer(error.failure.kind is not ErrorKind.IN_PROGRESS)
        return LeaveAnswer(True)

    async def _remove_spare(self, node: str) -> None:
        for voter in self._replica.voters:
            if voter.node == node and self._policy.can_spare(
                len(self._replica.voters)
            ):
                await self._remove(voter)

    async def _update_voters(self, replica: Replica) -> None:
        now = self._clock.monotonic()
        healths = self._watch.survey(now)
        candidates = self._find_candidates(now)
        for candidate in candidates:
            for voter in replica.voters:
                if voter.address == candidate.address:
                    # A new identity at the same address means that the disk
                    # of the old one is lost.
                    await self._remove(voter)
                    return
        # Removals come first: an addition waits for the new voter, which may
        # have gone as well.
        removal = self._policy.choose(healths)
        self._survey.write(healths, removal)
        if removal.voter is not None:
            await self._remove(removal.voter)
            return
        for candidate in candidates:
            self._log.info("seat_given", voter=candidate.node)
            # Last in line next time: one that can't be brought up to date
            # must not keep the others waiting.
            self._candidates[candidate.node] = self._candidates.pop(
                candidate.node
            )
            await replica.changes.add(candidate)
            self._watch.note_addition(candidate, now)
            return

    async def _remove(self, voter: Voter) -> None:
        await self._replica.changes.remove(voter.node)
        self._log.warn("seat_taken", voter=voter.node, address=voter.address)

    def _find_candidates(self, now: float) -> list[Voter]:
        voting = {voter.node for voter in self._replica.voters}
        for node, candidate in list(self._candidates.items()):
            if (
                node in voting
                or now - candidate.requested_at > JOIN_REQUEST_TTL_SECONDS
            ):
                del self._candidates[node]
        return [candidate.voter for candidate in self._candidates.values()]
