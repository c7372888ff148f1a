"""Membership of the voters: join requests, additions and removals."""

import asyncio

from chivepier.gateway.control.joincandidate import JoinCandidate
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import JoinAnswer
from chivepier.gateway.messages import JoinRequest
from chivepier.messages import Voter
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.state import Replica
from chivepier.types import Clock
from chivepier.types import RequestError
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds between two checks of the voter set.
CHECK_INTERVAL_SECONDS = 0.4
# Seconds for which a join request stays valid; it is repeated at each check.
JOIN_REQUEST_TTL_SECONDS = 1.5
# Seconds of silence after which a voter is removed if another one has joined
# since; a rolling restart takes less.
REPLACED_TIMEOUT_SECONDS = 4.0
# Seconds of silence after which a voter is removed without a replacement.
UNREACHABLE_TIMEOUT_SECONDS = 20.0
# With fewer voters, the loss of one leaves no quorum.
MIN_VOTERS = 3
# Timeout of one membership check, including a change of the voter set.
CHANGE_TIMEOUT_SECONDS = 5.0
# Timeout of one join request to one peer.
JOIN_REQUEST_TIMEOUT_SECONDS = 0.8


class Membership:
    """Requests a vote while this node has none; as leader, updates the voters.

    :param replica: this node's replica
    :param own_address: this node's peer address
    :param links: connections to the other nodes
    :param peers: addresses of the other nodes
    :param clock: monotonic clock
    :param log: receives changes of this node's vote and of the voter set
    """

    def __init__(
        self,
        replica: Replica,
        own_address: str,
        links: Links,
        peers: Peers,
        clock: Clock,
        log: EventLog,
    ):
        self._replica = replica
        self._own_address = own_address
        self._links = links
        self._peers = peers
        self._clock = clock
        self._log = log
        self._candidates: dict[str, JoinCandidate] = {}
        self._added_at: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}
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
        self._silent_since.clear()
        await self._request_vote()

    async def _request_vote(self) -> None:
        # A voter asks too: one that was removed while it was offline cannot
        # know, as it no longer receives the log.
        replica = self._replica
        request = JoinRequest(replica.node, self._own_address, replica.cluster)
        peers = [p for p in self._peers.all if p != self._own_address]
        if not peers or (replica.votes() and replica.leader):
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
        if not request.cluster or request.cluster == replica.cluster:
            voter = Voter(request.node, request.address)
            now = self._clock.monotonic()
            self._candidates[request.node] = JoinCandidate(voter, now)
        voters = replica.voters
        return JoinAnswer(
            replica.cluster,
            any(v.node == request.node for v in voters),
            tuple(v.address for v in voters),
        )

    async def _update_voters(self, replica: Replica) -> None:
        now = self._clock.monotonic()
        self._track_silence(now)
        candidates = self._find_candidates(now)
        for candidate in candidates:
            for voter in replica.voters:
                if voter.address == candidate.address:
                    # A new identity at the same address means that the disk
                    # of the old one is lost.
                    await self._remove(voter)
                    return
        for candidate in candidates:
            self._log.info("seat_given", voter=candidate.node)
            await replica.changes.add(candidate)
            self._added_at[candidate.node] = now
            return
        for voter in self._find_removable(now):
            await self._remove(voter)
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

    def _track_silence(self, now: float) -> None:
        states = self._replica.changes.report()
        for state in states:
            if state.holds:
                self._silent_since.pop(state.node, None)
            else:
                self._silent_since.setdefault(state.node, now)
        known = {state.node for state in states}
        for node in self._silent_since.keys() - known:
            del self._silent_since[node]

    def _find_removable(self, now: float) -> list[Voter]:
        """Find unreachable voters whose removal keeps the fault tolerance.

        An odd number of voters tolerates fewer losses after the removal of
        one, but not of two. A voter with a stalled but intact disk is still
        needed if further disks are lost.
        """
        voters = self._replica.voters
        if len(voters) <= MIN_VOTERS:
            return []
        unreachable = [
            voter for voter in voters if self._is_unreachable(voter, now)
        ]
        odd = len(voters) % 2 == 1
        return [] if odd and len(unreachable) < 2 else unreachable

    def _is_unreachable(self, voter: Voter, now: float) -> bool:
        since = self._silent_since.get(voter.node)
        if since is None:
            return False
        replaced = any(
            added_at > since for added_at in self._added_at.values()
        )
        return now - since > (
            REPLACED_TIMEOUT_SECONDS
            if replaced
            else UNREACHABLE_TIMEOUT_SECONDS
        )
