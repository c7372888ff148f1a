"""Who votes: founding, joining and replacement."""

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

# Seconds between two looks at who should vote.
CHECK_INTERVAL_SECONDS = 0.4
# Seconds for which a request to join counts; it is repeated as often as the
# seats are looked at.
JOIN_REQUEST_TTL_SECONDS = 1.5
# Seconds of silence after which a replaced voter loses its seat; a restart in
# turn takes less.
REPLACED_TIMEOUT_SECONDS = 4.0
# Seconds of silence after which a voter loses its seat without having been
# replaced.
UNREACHABLE_TIMEOUT_SECONDS = 20.0
# Voters that must remain: with fewer, the loss of one stops every change.
MIN_VOTERS = 3
# Seconds for one change of voters before the seats are looked at again.
CHANGE_TIMEOUT_SECONDS = 5.0
JOIN_REQUEST_TIMEOUT_SECONDS = 0.8


class Membership:
    """Asks for a vote while this node has none, and gives votes as leader.

    :param replica: this node's replica
    :param me: this node's peer address
    :param links: to the other nodes
    :param peers: their addresses
    :param clock: monotonic time
    :param log: what this process believes
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
        """Look at the seats for as long as the node lives."""
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
        # also a voter asks: one that lost its seat while it was away does
        # not know it, as nobody sends it the log any more
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
        """Log whether this node has a vote, as most of the others say.

        Those that have just started know little, and contradict the others
        until they have the log.

        :param told: by each that answered
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
        """Answer an instance that asks for a vote.

        :param request: who it is
        :returns: whether it votes, and who does
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
                    # another identity answers at its address: the disk
                    # that this vote belonged to is lost for good
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
        """Find the voters whose votes are to be taken.

        A vote is taken only where the others bear as many losses as before:
        of an odd number that is not so with one vote, but with two. One that
        lost its vote though its disk is whole would else be missed when more
        disks are lost.
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
