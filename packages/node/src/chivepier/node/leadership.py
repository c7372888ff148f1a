"""What the leading voter does besides replicating."""

import asyncio
import secrets

import logbook

from chivepier.membership import ForceTracker
from chivepier.membership import LeaseTable
from chivepier.messages import ChangedNotice
from chivepier.messages import encode
from chivepier.messages import InForceCommand
from chivepier.messages import JoinCommand
from chivepier.messages import LeaveCommand
from chivepier.messages import Member
from chivepier.messages import RenewAnswer
from chivepier.messages import RenewRequest
from chivepier.messages import SecretCommand
from chivepier.node.cluster import Cluster
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError

log = logbook.Logger("leadership")

TICK_SECONDS = 0.1
SECRET_BYTES = 32


class Leadership:
    """Keeps members' leases and tells when a version is in force.

    Its record starts anew with each term: what an earlier leader knew of
    acknowledgements is asked again, and its grants are waited out.
    """

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        self._term = 0
        self._restart()
        self._joining: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Do the leader's work whenever this voter leads."""
        cluster = self._cluster
        while True:
            await cluster.machine.changed.wait(TICK_SECONDS)
            asked = cluster.clock.monotonic()
            if not cluster.replica.leads() or not self._current():
                continue
            self._track(asked)
            try:
                await self._keep_secret()
                await self._settle_epoch()
                await self._expire()
            except (NotLeaderError, LostLeadError):
                continue

    def _restart(self) -> None:
        cluster = self._cluster
        self._told = 0
        self._caught_up = False
        self._leases = LeaseTable(cluster.clock, cluster.terms)
        self.force = ForceTracker(
            cluster.clock, cluster.terms, cluster.machine.member_sets
        )

    def _start_term(self) -> None:
        term = self._cluster.replica.storage.term
        if term != self._term:
            self._term = term
            self._restart()

    def _track(self, asked: float) -> None:
        cluster = self._cluster
        machine = cluster.machine
        if machine.version > self._told:
            self._told = machine.version
            self.force.add_version(machine.version)
            self._acknowledge_self()
            self._announce(machine.version)
        # another leader may have seen a later version in force
        cluster.in_force = max(cluster.in_force, self.force.advance())
        cluster.freshness.confirm(asked)

    def _acknowledge_self(self) -> None:
        cluster = self._cluster
        self.force.acknowledge(
            cluster.identity.node,
            cluster.incarnation,
            cluster.machine.version,
        )

    def _announce(self, version: int) -> None:
        cluster = self._cluster
        notice = ChangedNotice(version, cluster.peer_address)
        for member in cluster.machine.members.values():
            if member.node != cluster.identity.node:
                work = cluster.links.send(member.peer_address, notice)
                self._spawn(work)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _keep_secret(self) -> None:
        cluster = self._cluster
        if not cluster.machine.secret:
            secret = secrets.token_bytes(SECRET_BYTES)
            await cluster.replica.propose(encode(SecretCommand(secret)))

    async def _settle_epoch(self) -> None:
        cluster = self._cluster
        epochs = [epoch for epoch, _ in cluster.machine.member_sets]
        if len(epochs) > 1 and epochs[1] <= self.force.in_force:
            command = InForceCommand(self.force.in_force)
            await cluster.replica.propose(encode(command))

    def _is_unsettled(self, version: int) -> bool:
        """Tell whether the log keeps sets that a version has outdated."""
        epochs = [epoch for epoch, _ in self._cluster.machine.member_sets]
        return len(epochs) > 1 and epochs[1] <= version

    async def _expire(self) -> None:
        cluster = self._cluster
        members = [
            m
            for m in cluster.machine.members.values()
            if m.node != cluster.identity.node
        ]
        for member in self._leases.expired(members):
            log.info("lease ran out member={}", member.name)
            command = LeaveCommand(member.node, member.incarnation)
            await cluster.replica.propose(encode(command))

    def handle_renew(self, request: RenewRequest) -> RenewAnswer:
        """Renew a member's lease.

        :param request: who renews, and the version it has
        :returns: whether granted, and the newest committed version
        """
        cluster = self._cluster
        asked = cluster.clock.monotonic()
        if not cluster.replica.leads() or not self._current():
            return RenewAnswer(False, cluster.find_leader(), 0, 0)
        member = request.member
        self._leases.hear(member)
        known = cluster.machine.members.get(member.node)
        if _news(known, member):
            self._join(member)
        self.force.acknowledge(
            member.node, member.incarnation, request.version
        )
        self._track(asked)
        return RenewAnswer(
            True,
            cluster.peer_address,
            cluster.machine.version,
            cluster.in_force,
        )

    def _current(self) -> bool:
        # until an entry of this term is committed, and applied here, this
        # leader may lack a version that an earlier one called in force
        replica = self._cluster.replica
        self._start_term()
        if self._caught_up:
            return True
        committed = replica.storage.term_at(replica.commit)
        if committed == replica.storage.term:
            machine = self._cluster.machine
            self._caught_up = machine.index >= replica.commit
        return self._caught_up

    def _join(self, member: Member) -> None:
        key = (member.node, member.incarnation)
        if key not in self._joining:
            self._joining.add(key)
            self._spawn(self._commit_join(member))

    async def _commit_join(self, member: Member) -> None:
        key = (member.node, member.incarnation)
        try:
            command = JoinCommand(member)
            await self._cluster.replica.propose(encode(command))
        except (NotLeaderError, LostLeadError):
            pass
        finally:
            self._joining.discard(key)

    async def wait_in_force(self, version: int) -> None:
        """Return once a version is in force everywhere.

        The log must say so, too, of an epoch up to it: the next leader would
        wait for members of earlier sets, such as this one when it has died,
        and call no change in force until they are back.

        :param version: a committed log index
        :raises LostLeadError: when the lead is lost while waiting
        """
        term = self._cluster.replica.storage.term
        while self.force.in_force < version or self._is_unsettled(version):
            await self.force.changed.wait(TICK_SECONDS)
            if self._term != term and self._term != 0:
                raise LostLeadError()
            if not self._cluster.replica.leads():
                raise LostLeadError()


def _news(known: Member | None, member: Member) -> bool:
    """Tell whether a renewal changes what is known of its member."""
    if known is None or known.incarnation < member.incarnation:
        return True
    if known.incarnation > member.incarnation:
        return False
    # a drain is never taken back: a renewal from before it may come late
    return known != member and not known.draining
