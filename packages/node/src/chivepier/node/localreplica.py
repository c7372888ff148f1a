"""This node's identity, and its replica of the log."""

import collections.abc
import contextlib
import random

import chivepier.messages as messages
from chivepier.messages import encode
from chivepier.node.cluster import Cluster
from chivepier.node.leadership import Leadership
from chivepier.state import DiskStorage
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.state import save_identity
from chivepier.state import Timing

MERGE_SECONDS = 0.1


class LocalReplica:
    """Runs the replica, from the start or once this node becomes a voter.

    :param spawn: runs a coroutine for as long as the node lives
    """

    def __init__(
        self,
        cluster: Cluster,
        spawn: collections.abc.Callable[[collections.abc.Coroutine], None],
    ):
        self._cluster = cluster
        self._folder = cluster.settings.data_dir
        self._spawn = spawn
        self._stack = contextlib.AsyncExitStack()

    async def close(self) -> None:
        """Stop the replica, if there is one."""
        await self._stack.aclose()

    async def start(self) -> None:
        """Start the replica on this node's data folder."""
        cluster = self._cluster
        replica = Replica(
            cluster.identity.node,
            DiskStorage(self._folder, used=True),
            Machine(),
            cluster.links,
            cluster.clock,
            Timing(),
            random.Random(cluster.identity.node),
            cluster.identity.cluster,
        )
        if replica.votes():
            replica.use_machine(cluster.machine)
        cluster.leadership = Leadership(cluster)
        cluster.replica = replica
        await self._stack.enter_async_context(replica)
        self._spawn(cluster.leadership.run())
        self._spawn(self._merge(replica))

    async def _merge(self, replica: Replica) -> None:
        # a learner's log fills a machine of its own, claims included, while
        # the node goes on with what it fetches from others
        machine = self._cluster.machine
        while replica.machine is not machine:
            if replica.votes() and replica.machine.index >= machine.index:
                replica.use_machine(machine)
                return
            await replica.machine.changed.wait(MERGE_SECONDS)

    def identify(self) -> messages.IdentityAnswer:
        """Tell a peer who this node is."""
        identity = self._cluster.identity
        return messages.IdentityAnswer(
            identity.node,
            self._cluster.settings.name,
            identity.cluster,
            self._folder is not None,
        )

    async def enrol(
        self, request: messages.EnrolRequest
    ) -> messages.EnrolAnswer:
        """Begin to keep the log, as the leader asks.

        :param request: the cluster, and who is to keep its log
        :returns: whether it does so, and why not
        """
        cluster = self._cluster
        identity = cluster.identity
        if self._folder is None:
            return messages.EnrolAnswer(False, "it has no data folder")
        if request.node != identity.node:
            return messages.EnrolAnswer(False, "it has another identity")
        if identity.cluster and identity.cluster != request.cluster:
            text = "its folder belongs to another cluster: empty it first"
            return messages.EnrolAnswer(False, text)
        replica = cluster.replica
        if replica is None:
            DiskStorage(self._folder).close()
            self._join(request.cluster)
            await self.start()
        elif replica.machine is cluster.machine and not replica.votes():
            text = "it was removed; restart it first"
            return messages.EnrolAnswer(False, text)
        return messages.EnrolAnswer(True, "")

    def _join(self, name: str) -> None:
        identity = Identity(self._cluster.identity.node, name)
        save_identity(self._folder, identity)
        self._cluster.identity = identity

    async def found(
        self, request: messages.BootstrapRequest
    ) -> messages.BootstrapAnswer:
        """Begin a new cluster's log, as an operator orders.

        :param request: the cluster and its first voters
        :returns: whether it did so, and why not
        """
        identity = self._cluster.identity
        if identity.cluster == request.cluster:
            return messages.BootstrapAnswer(True, "")
        if identity.cluster or self._folder is None:
            return messages.BootstrapAnswer(False, "not a new data folder")
        storage = DiskStorage(self._folder)
        command = encode(messages.VotersCommand(request.voters))
        storage.append((messages.Entry(1, 1, command),))
        await storage.sync()
        await storage.save_vote(1, "")
        storage.close()
        self._join(request.cluster)
        await self.start()
        return messages.BootstrapAnswer(True, "")
