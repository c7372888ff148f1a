"""What the parts of one node share."""

import attrs

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import FreshRequest
from chivepier.messages import Member
from chivepier.node.settings import Settings
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.types import Clock
from chivepier.wire import Links


@attrs.define(kw_only=True)
class Cluster:
    """This node's view of the others.

    ``replica`` is set on a voter; ``leadership`` while a voter runs, for
    the times it leads; ``leader`` is the peer address last heard of.
    ``draining``: this instance is to leave the addresses answer;
    ``leaving``: it does not renew its membership any more.
    """

    settings: Settings
    clock: Clock
    identity: Identity
    incarnation: int
    terms: LeaseTerms
    machine: Machine
    freshness: Freshness
    links: Links = None
    replica: Replica | None = None
    leadership: object = None
    watch: object = None
    dead: object = None
    leader: str = ""
    draining: bool = False
    leaving: bool = False
    in_force: int = 0
    address: str = ""
    peer_address: str = ""

    @property
    def me(self) -> Member:
        """What this instance says of itself."""
        return Member(
            self.identity.node,
            self.incarnation,
            self.settings.name,
            self.settings.region,
            self.settings.zone,
            self.address,
            self.peer_address,
            self.draining,
        )

    @property
    def holder(self) -> str:
        """This run of the node, as the prefix of its requests' names."""
        return f"{self.identity.node}.{self.incarnation}"

    def make_fresh_request(self) -> FreshRequest:
        """Return what asks a peer how new its state is."""
        return FreshRequest(
            self.identity.node, self.incarnation, self.machine.version
        )

    def owners(self) -> list[Member]:
        """Return the members that may own: none that surely ended."""
        ended = self.dead.confirmed
        return [
            m for m in self.members() if (m.node, m.incarnation) not in ended
        ]

    def reachable(self) -> list[Member]:
        """Return the members whose end this node has not seen."""
        ended = self.dead.ended
        return [m for m in self.members() if not ended(m.node, m.incarnation)]

    def joined(self) -> bool:
        """Tell whether this run of the node is a member."""
        member = self.machine.members.get(self.identity.node)
        return member is not None and member.incarnation == self.incarnation

    def ready(self) -> bool:
        """Tell whether new work may be taken."""
        return self.joined() and self.freshness.fresh()

    def find_leader(self) -> str:
        """Return the leader's peer address, empty when it isn't known."""
        if self.replica is not None and self.replica.leader:
            for voter in self.replica.voters:
                if voter.node == self.replica.leader:
                    return voter.address
        return self.leader

    def members(self) -> list[Member]:
        """Return the members of this node's region."""
        region = self.settings.region
        return [m for m in self.machine.members.values() if m.region == region]

    def guides(self) -> list[str]:
        """Return peer addresses that may know the leader."""
        known = [v.address for v in self.machine.voters]
        unique = dict.fromkeys(known or self.settings.seeds)
        unique.pop(self.peer_address, None)
        return list(unique)

    def peers(self) -> list[str]:
        """Return peer addresses to ask: members, else the seeds."""
        known = [m.peer_address for m in self.machine.members.values()]
        known += [v.address for v in self.machine.voters]
        known += self.settings.seeds
        unique = dict.fromkeys(known)
        unique.pop(self.peer_address, None)
        return list(unique)
