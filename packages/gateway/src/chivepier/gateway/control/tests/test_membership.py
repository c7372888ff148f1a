"""Tests of how a node learns whether it has a vote."""

import asyncio
import json
import os
import tempfile

import pytest

from chivepier.gateway.control.membership import Membership
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import JoinAnswer
from chivepier.messages import Voter
from chivepier.messages import VoterState
from chivepier.types import ManualClock
from chivepier.wire import LinkError

PEERS = ("10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7")


class Asking:
    """A node that has just started, and what its peers say of its vote."""

    node, cluster, leader = "n1", "c", ""

    def __init__(self, says: dict[str, bool | None]):
        self.says = says
        self._lines = tempfile.TemporaryFile()
        log = EventLog("n1", self._lines.fileno(), lambda: 0.0)
        peers = Peers(PEERS)
        self.membership = Membership(
            self, "10.0.0.1:7", self, peers, ManualClock(), log
        )

    def leads(self) -> bool:
        """Never lead."""
        return False

    def votes(self) -> bool:
        """Have no vote yet."""
        return False

    async def request(self, peer, request, seconds) -> JoinAnswer:
        """Answer as a peer does, or not at all."""
        says = self.says[peer]
        if says is None:
            raise LinkError("silent", sent=True)
        return JoinAnswer("c", says, ())

    def look(self, rounds: int) -> list[bool]:
        """Ask in several rounds; return what was logged of the vote."""
        for _ in range(rounds):
            asyncio.run(self.membership._check_membership())
        self._lines.seek(0)
        return [json.loads(line)["votes"] for line in self._lines]


def test_contradicting_words_of_peers_are_told_once():
    # Two that had just started contradicted the third ten times a second.
    asking = Asking(dict(zip(PEERS, (True, False, False))))
    assert asking.look(5) == [False]
    asking.says[PEERS[1]] = True
    assert asking.look(5) == [False, True]


def test_silent_peers_say_nothing_of_a_vote():
    asking = Asking(dict.fromkeys(PEERS))
    assert asking.look(2) == []
    asking.says[PEERS[2]] = True
    assert asking.look(2) == [True]


class Leading:
    """A leader of voters of which some fall silent."""

    node, cluster = "v0", "c"

    def __init__(self, voters: int):
        self.voters = [Voter(f"v{n}", f"10.0.0.{n}:7") for n in range(voters)]
        self.silent: set[str] = set()
        self.changes = self
        self.clock = ManualClock()
        log = EventLog("v0", os.open(os.devnull, os.O_WRONLY))
        self.membership = Membership(
            self, "10.0.0.0:7", self, Peers(()), self.clock, log
        )

    def leads(self) -> bool:
        """Lead all the time."""
        return True

    def report(self) -> list[VoterState]:
        """Tell which voters hold all."""
        return [
            VoterState(v.node, v.address, 0, v.node not in self.silent)
            for v in self.voters
        ]

    async def remove(self, node: str) -> None:
        """Take a vote."""
        self.voters = [v for v in self.voters if v.node != node]

    def play(self, seconds: float) -> int:
        """Look at the seats each second; return how many voters are left."""
        for _ in range(int(seconds)):
            asyncio.run(self.membership._check_membership())
            self.clock.advance(1.0)
        return len(self.voters)


@pytest.mark.parametrize(
    ("voters", "silent", "left"),
    ((3, 1, 3), (4, 1, 3), (5, 1, 5), (5, 2, 3), (6, 1, 5), (7, 1, 7)),
)
def test_votes_are_taken_only_where_as_many_losses_are_borne(
    voters, silent, left
):
    # Of five voters the one with a stalled disk lost its vote; then two disks
    # were lost, and two of four elected no leader ever.
    leading = Leading(voters)
    leading.silent = {f"v{n}" for n in range(1, 1 + silent)}
    assert leading.play(60.0) == left
