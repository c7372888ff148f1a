"""Tests of how a node learns whether it has a vote."""

import asyncio
import json
import tempfile

from chivepier.gateway.control.seats import Seats
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import JoinAnswer
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
        self.seats = Seats(self, "10.0.0.1:7", self, peers, ManualClock(), log)

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
            asyncio.run(self.seats._look())
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
