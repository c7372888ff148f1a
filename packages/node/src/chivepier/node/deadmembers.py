"""Members whose process is known to have ended."""

import asyncio

import logbook

from chivepier.messages import DeathAnswer
from chivepier.messages import DeathRequest
from chivepier.messages import Member
from chivepier.wire import LinkError

log = logbook.Logger("membership")

PROBE_SECONDS = 0.5
CONFIRM_SECONDS = 1.5
SEEN_SECONDS = 5.0

Key = tuple[str, int]


class DeadMembers:
    """Tells a process that ended from one that is only silent.

    A silent member may act on until its lease runs out, and without a
    voters' majority it can't even be removed: its shards would have no
    owner.  But where the kernel refuses a connection to its port, or
    another run answers there, that run has ended and holds no lease.

    ``seen`` is this node's own evidence: it sends requests elsewhere.
    ``confirmed`` is shared by a majority of the members, so that one bad
    rule on the way to an owner that lives makes no second owner.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.seen: dict[Key, float] = {}
        self.confirmed: set[Key] = set()
        self._checking: dict[Key, asyncio.Task] = {}
        self._looking: set[Key] = set()
        self._tasks: set[asyncio.Task] = set()

    def forget(self) -> None:
        """Drop those that are members no more; look again at the others.

        A rule that refused connections for a moment must not keep this node
        from an owner that lives.
        """
        members = self._cluster.machine.members.values()
        keys = {(m.node, m.incarnation) for m in members}
        self.confirmed &= keys
        oldest = self._cluster.clock.monotonic() - SEEN_SECONDS
        for key, seen in list(self.seen.items()):
            if key not in keys:
                del self.seen[key]
            elif seen < oldest and key not in self._looking:
                self._looking.add(key)
                task = asyncio.create_task(self._look_again(key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def ended(self, node: str, incarnation: int) -> bool:
        """Tell whether there is evidence that a run ended."""
        key = (node, incarnation)
        return key in self.confirmed or key in self.seen

    async def _look_again(self, key: Key) -> None:
        try:
            member = self._cluster.machine.members.get(key[0])
            if member is not None and not await self._probe(member):
                self.seen.pop(key, None)
            elif key in self.seen:
                self.seen[key] = self._cluster.clock.monotonic()
        finally:
            self._looking.discard(key)

    async def check(self, member: Member) -> bool:
        """See whether a member's process has ended.

        :param member: who did not answer
        :returns: whether there is evidence; silence is none
        """
        cluster = self._cluster
        key = (member.node, member.incarnation)
        if key in self.seen:
            return True
        dead = await self._probe(member)
        if dead:
            log.info("process ended member={}", member.name)
            self.seen[key] = cluster.clock.monotonic()
        return dead

    async def _probe(self, member: Member) -> bool:
        cluster = self._cluster
        request = cluster.make_fresh_request()
        try:
            answer = await cluster.links.request(
                member.peer_address, request, PROBE_SECONDS
            )
        except LinkError as error:
            return error.refused
        later = answer.incarnation > member.incarnation
        return answer.node != member.node or later

    async def handle_death(self, request: DeathRequest) -> DeathAnswer:
        """Look, and tell who asks.

        :param request: which run of which member
        :returns: what this node saw
        """
        member = self._cluster.machine.members.get(request.node)
        if member is None or member.incarnation != request.incarnation:
            return DeathAnswer(False)
        return DeathAnswer(await self.check(member))

    def confirm(self, member: Member) -> None:
        """Begin to ask the members, unless that is going on.

        :param member: who would own what this node is asked for
        """
        key = (member.node, member.incarnation)
        if key not in self._checking and key not in self.confirmed:
            task = asyncio.create_task(self._confirm(member, key))
            self._checking[key] = task
            task.add_done_callback(lambda _: self._checking.pop(key))

    async def _confirm(self, member: Member, key: Key) -> None:
        if not await self.check(member):
            return
        cluster = self._cluster
        members = list(cluster.machine.members.values())
        asked = [
            m
            for m in members
            if m.node not in (member.node, cluster.identity.node)
        ]
        answers = await asyncio.gather(*(self._ask(m, key) for m in asked))
        if 1 + sum(answers) > len(members) // 2:
            self.confirmed.add(key)

    async def _ask(self, member: Member, key: Key) -> bool:
        try:
            answer: DeathAnswer = await self._cluster.links.request(
                member.peer_address, DeathRequest(*key), CONFIRM_SECONDS
            )
        except LinkError:
            return False
        return answer.dead
