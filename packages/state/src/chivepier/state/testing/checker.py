"""The invariants of the replicated log."""

import collections.abc

from chivepier.messages import Entry
from chivepier.state.replica import Replica


class Checker:
    """Watches every voter and remembers what must never change."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.versions: dict[str, int] = {}
        self.granted: dict[tuple[str, str], str] = {}

    def look(self, replicas: collections.abc.Iterable[Replica]) -> None:
        """Check one moment.

        :param replicas: the voters that run
        :raises AssertionError: naming the broken invariant
        """
        holders = []
        for replica in replicas:
            if not isinstance(replica.error, OSError | None):
                raise replica.error
            tenure = replica._core.tenure
            if tenure is not None:
                self.note_leader(tenure.term, replica.node)
                assert replica.storage.term == tenure.term, "term moved"
            if replica.leads():
                holders.append(replica.node)
        assert len(holders) < 2, f"two leader leases at once: {holders}"

    def note_leader(self, term: int, node: str) -> None:
        """Note that a voter leads, or sends as a leader does.

        :param term: its term
        :param node: the voter
        :raises AssertionError: when another led in that term
        """
        first = self.leaders.setdefault(term, node)
        assert first == node, f"two leaders in term {term}: {first}, {node}"

    def note_applied(self, entry: Entry) -> None:
        """Note that a voter applied an entry.

        :param entry: the entry
        :raises AssertionError: when another was applied at its index
        """
        told = (entry.term, entry.command)
        first = self.committed.setdefault(entry.index, told)
        assert first == told, f"committed entry {entry.index} was replaced"

    def note_version(self, name: str, version: int) -> None:
        """Note that a change was answered as accepted.

        :param name: the document
        :param version: its new version
        """
        self.versions[name] = max(version, self.versions.get(name, 0))

    def note_grant(self, team: str, key: str, request: str) -> None:
        """Note that a claim was granted.

        :param team: the claimer's team
        :param key: the claimed key
        :param request: the claiming request
        :raises AssertionError: when the key was granted to another request
        """
        first = self.granted.setdefault((team, key), request)
        assert first == request, f"key {key} granted to {first} and {request}"
