"""Keeping this node's lease and state up to date."""

import asyncio
import random

from chivepier.messages import ChangedNotice
from chivepier.messages import ClaimCommand
from chivepier.messages import decode
from chivepier.messages import Entry
from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.messages import OutcomeCommand
from chivepier.messages import RenewRequest
from chivepier.messages import SyncAnswer
from chivepier.messages import SyncRequest
from chivepier.node.cluster import Cluster
from chivepier.state import Snapshot
from chivepier.types import Signal
from chivepier.wire import LinkError

SYNC_ENTRIES = 500


class Renewal:
    """One task that renews the lease and fetches what is new.

    The leader is asked first.  Where it can't be reached, all members are
    asked, and a majority of them that knows nothing newer renews the lease:
    so losing the voters' majority stops changes, but not serving.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._hurry = Signal()
        self._hurried = False
        self._told = 0

    async def run(self) -> None:
        """Renew for as long as the node lives."""
        cluster = self._cluster
        while not cluster.leaving:
            if not await self._renew_at_leader():
                await self._renew_at_members()
            if self._hurried:
                # it came while this was busy: a wait would sleep over it
                self._hurried = False
                continue
            wait = cluster.terms.renew if cluster.ready() else 0.1
            await self._hurry.wait(wait * random.uniform(0.8, 1.0))
            self._hurried = False

    def handle_notice(self, notice: ChangedNotice) -> None:
        """Hurry: the leader committed a change.

        Also where the version is here already: the leader waits to be told.

        :param notice: the committed version
        """
        self._cluster.leader = notice.leader
        if notice.version > self._told:
            # also where it is applied already: the leader waits to hear that
            self.hurry()

    def hurry(self) -> None:
        """Renew at once: something is to be told."""
        self._hurried = True
        self._hurry.set()

    async def _renew_at_leader(self) -> bool:
        cluster = self._cluster
        if cluster.replica is not None and cluster.replica.leads():
            request = RenewRequest(cluster.me, cluster.machine.version)
            cluster.leadership.handle_renew(request)
            return True
        asked = cluster.clock.monotonic()
        leader = cluster.find_leader()
        if leader and await self._ask_leader(leader, asked):
            return True
        cluster.leader = ""
        # all at once: one after the other, two silent ones use up the lease
        candidates = [a for a in cluster.guides() if a != leader]
        return any(
            await asyncio.gather(
                *(self._ask_leader(a, asked) for a in candidates)
            )
        )

    async def _ask_leader(self, address: str, asked: float) -> bool:
        cluster = self._cluster
        request = RenewRequest(cluster.me, cluster.machine.version)
        try:
            answer = await cluster.links.request(
                address, request, cluster.terms.request
            )
        except LinkError:
            return False
        if not answer.granted:
            if answer.leader and answer.leader != address:
                cluster.leader = answer.leader
            return False
        cluster.leader = address
        self._told = max(self._told, request.version)
        if answer.version > cluster.machine.version:
            await self._catch_up(address, answer.version)
        if cluster.machine.version > request.version:
            # applied since the question was sent: the leader waits for it
            self.hurry()
        cluster.in_force = max(cluster.in_force, answer.in_force)
        if cluster.machine.version >= answer.version:
            cluster.freshness.confirm(asked)
        return True

    async def _renew_at_members(self) -> None:
        cluster = self._cluster
        asked = cluster.clock.monotonic()
        members = list(cluster.machine.members.values())
        others = [m for m in members if m.node != cluster.identity.node]
        if not members:
            return
        answers = await asyncio.gather(
            *(self._ask_member(m.peer_address) for m in others)
        )
        known = {(m.node, m.incarnation) for m in others}
        vouching = 1 if cluster.joined() else 0
        for member, answer in zip(others, answers):
            if answer is None:
                continue
            if (answer.node, answer.incarnation) not in known:
                continue
            if answer.version > cluster.machine.version:
                await self._catch_up(member.peer_address, answer.version)
            if cluster.machine.version >= answer.version:
                vouching += 1
        # the set may have changed on the way: vouching counts for the old
        if set(cluster.machine.members.values()) != set(members):
            return
        if vouching > len(members) // 2:
            cluster.freshness.confirm(asked)

    async def _ask_member(self, address: str) -> FreshAnswer | None:
        cluster = self._cluster
        request = cluster.make_fresh_request()
        try:
            return await cluster.links.request(
                address, request, cluster.terms.request
            )
        except LinkError:
            return None

    def handle_fresh(self, request: FreshRequest) -> FreshAnswer:
        """Tell a member which version this one has.

        :param request: the member's question
        :returns: this node's version
        """
        cluster = self._cluster
        incarnation = cluster.incarnation
        if cluster.dead.ended(request.node, request.incarnation):
            # another may own its shards by now: it gets no lease from here
            incarnation = 0
        return FreshAnswer(
            cluster.identity.node,
            incarnation,
            cluster.machine.version,
        )

    async def _catch_up(self, address: str, version: int) -> None:
        """Fetch committed entries from a peer until a version is applied."""
        cluster = self._cluster
        machine = cluster.machine
        if cluster.replica is not None and cluster.replica.feeds(machine):
            # a voter's state comes by the log alone
            end = cluster.clock.monotonic() + cluster.terms.request
            while machine.version < version:
                left = end - cluster.clock.monotonic()
                if left <= 0 or not await machine.changed.wait(left):
                    return
            return
        while machine.version < version:
            try:
                answer = await cluster.links.request(
                    address, SyncRequest(machine.index), 5.0
                )
            except LinkError:
                return
            before = machine.index
            self._take(answer)
            if machine.index == before:
                return

    def _take(self, answer: SyncAnswer) -> None:
        machine = self._cluster.machine
        if answer.snapshot and answer.commit > machine.index:
            machine.restore(Snapshot(answer.commit, 0, answer.snapshot))
        for entry in answer.entries:
            if entry.index == machine.index + 1:
                machine.apply(entry)

    def handle_sync(self, request: SyncRequest) -> SyncAnswer:
        """Give a node without a disk what it lacks.

        :param request: how far the node is
        :returns: entries, or a snapshot when they are no longer held
        """
        machine = self._cluster.machine
        if request.index >= machine.index:
            return SyncAnswer(machine.index, (), b"")
        first = machine.recent.first_index
        if first is not None and first <= request.index + 1:
            offset = request.index + 1 - first
            chosen = list(machine.recent)[offset : offset + SYNC_ENTRIES]
            entries = tuple(strip_claims(e) for e in chosen)
            return SyncAnswer(machine.index, entries, b"")
        snapshot = machine.take_snapshot(with_claims=False)
        return SyncAnswer(snapshot.index, (), snapshot.data)


def strip_claims(entry: Entry) -> Entry:
    """Empty an entry that only voters need.

    :param entry: a committed entry
    :returns: the entry, without a claim's or outcome's command
    """
    if not entry.command:
        return entry
    if isinstance(decode(entry.command), ClaimCommand | OutcomeCommand):
        return Entry(entry.term, entry.index, b"")
    return entry
