"""Tests of requesting votes and of removing voters."""

import asyncio
import json
import os
import tempfile

import pytest

from chivepier.gateway.control.membership import Membership
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import JoinAnswer
from chivepier.gateway.messages import JoinRequest
from chivepier.gateway.messages import LeaveRequest
from chivepier.messages import Voter
from chivepier.messages import VoterState
from chivepier.types import ManualClock
from chivepier.wire import LinkError

# After this, an instance that was replaced no longer counts as lost.
CATCH_UP_SECONDS = 4.0
PEERS = ("10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7")


class JoiningNode:
    """A started node without a vote, and the answers of its peers."""

    error = refusal = None

    node, cluster, leader = "n1", "c", ""

    def __init__(self, answers: dict[str, bool | None]):
        self.answers = answers
        self._lines = tempfile.TemporaryFile()
        log = EventLog("n1", self._lines.fileno(), lambda: 0.0)
        peers = Peers(PEERS)
        self.membership = Membership(
            self, "10.0.0.1:7", self, peers, ManualClock(), log
        )

    def leads(self) -> bool:
        """Return that this node does not lead."""
        return False

    def votes(self) -> bool:
        """Return that this node has no vote."""
        return False

    def measure_write(self) -> float:
        """Return that no write is under way."""
        return 0.0

    async def request(self, peer, request, seconds) -> JoinAnswer:
        """Return the answer of a peer, or fail if it is silent."""
        answers = self.answers[peer]
        if answers is None:
            raise LinkError("silent", sent=True)
        return JoinAnswer("c", answers, ())

    def run_checks(self, rounds: int) -> list[bool]:
        """Run several checks; return the logged vote states."""
        for _ in range(rounds):
            asyncio.run(self.membership._check_membership())
        self._lines.seek(0)
        return [json.loads(line)["votes"] for line in self._lines]


def test_contradicting_answers_of_peers_are_logged_once():
    # Peers that have just started contradict the others; guards against
    # logging a change at every check.
    joining = JoiningNode(dict(zip(PEERS, (True, False, False))))
    assert joining.run_checks(5) == [False]
    joining.answers[PEERS[1]] = True
    assert joining.run_checks(5) == [False, True]


def test_silent_peers_do_not_change_the_vote():
    joining = JoiningNode(dict.fromkeys(PEERS))
    assert joining.run_checks(2) == []
    joining.answers[PEERS[2]] = True
    assert joining.run_checks(2) == [True]


class LeadingNode:
    """A leader of several voters, some of which are silent."""

    node, cluster = "v0", "c"

    def __init__(self, voters: int):
        self.voters = [Voter(f"v{n}", f"10.0.0.{n}:7") for n in range(voters)]
        self.silent: set[str] = set()
        self._silent_at: dict[str, float] = {}
        self.changes = self
        self.clock = ManualClock()
        log = EventLog("v0", os.open(os.devnull, os.O_WRONLY))
        self.membership = Membership(
            self, "10.0.0.0:7", self, Peers(()), self.clock, log
        )

    def leads(self) -> bool:
        """Return that this node leads."""
        return True

    def report(self) -> list[VoterState]:
        """Return the voters, with whether they have the whole log."""
        return [
            VoterState(v.node, v.address, 0, v.node not in self.silent)
            for v in self.voters
        ]

    def measure_silence(self, node: str) -> float:
        """Return for how long a voter was silent at the last checks."""
        now = self.clock.monotonic()
        if node not in self.silent:
            self._silent_at.pop(node, None)
            return 0.0
        return now - self._silent_at.setdefault(node, now)

    def has_answered(self, node: str) -> bool:
        """Tell that a voter answered this leader, before it was silent."""
        return True

    async def add(self, voter: Voter) -> None:
        """Add a voter."""
        self.voters.append(voter)

    async def remove(self, node: str) -> None:
        """Remove a voter."""
        self.voters = [v for v in self.voters if v.node != node]

    def run_seconds(self, seconds: float) -> int:
        """Check once per simulated second; return the number of voters."""
        for _ in range(int(seconds)):
            asyncio.run(self.membership._check_membership())
            self.clock.advance(1.0)
        return len(self.voters)


@pytest.mark.parametrize(
    ("voters", "silent", "left"),
    ((3, 1, 3), (4, 1, 3), (5, 1, 5), (5, 2, 3), (6, 1, 5), (7, 1, 7)),
)
def test_removal_of_voters_keeps_fault_tolerance(voters, silent, left):
    # Guards against lower fault tolerance: if one of five voters is removed
    # for a stalled disk, and two disks are lost later, the remaining two of
    # four can't elect a leader.
    leader = LeadingNode(voters)
    leader.silent = {f"v{n}" for n in range(1, 1 + silent)}
    assert leader.run_seconds(60.0) == left


def test_silent_voter_of_an_even_number_goes_before_its_successor_counts():
    # Guards against a leader that has seen neither the silence begin nor the
    # successor join, and waits as without one.
    leader = LeadingNode(4)
    leader.silent = {"v1"}
    assert leader.run_seconds(CATCH_UP_SECONDS) == 3


def test_voter_that_has_come_back_after_a_stop_is_not_removed():
    # Guards against removing a restarted voter once the number gets even.
    leader = LeadingNode(3)
    request = LeaveRequest("v1", leader.cluster)
    answer = asyncio.run(leader.membership.handle_leave(request))
    assert answer.settled
    leader.silent = {"v1"}
    leader.run_seconds(1)
    leader.silent = set()
    leader.run_seconds(1)
    leader.voters.append(Voter("v3", "10.0.0.3:7"))
    assert leader.run_seconds(60.0) == 4


def test_stop_of_a_voter_of_another_cluster_changes_nothing():
    leader = LeadingNode(4)
    request = LeaveRequest("v1", "another")
    asyncio.run(leader.membership.handle_leave(request))
    assert leader.run_seconds(60.0) == 4


@pytest.mark.parametrize(("own", "asking"), (("", "c"), ("c", "")))
def test_voter_is_known_where_one_side_lacks_the_clusters_name(own, asking):
    # Guards against a vote that is neither given up nor given back where the
    # leader or the asking voter has joined later.
    leader = LeadingNode(4)
    leader.cluster = own
    membership = leader.membership
    asyncio.run(membership.handle_leave(LeaveRequest("v1", asking)))
    assert len(leader.voters) == 3
    membership.handle(JoinRequest("v1", "10.0.0.1:7", asking))
    assert leader.run_seconds(2.0) == 4
