"""Several voters in one process, on a passed-in clock."""

import asyncio
import random

from chivepier.messages import AppendRequest
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import SnapshotRequest
from chivepier.messages import Voter
from chivepier.messages import VoteRequest
from chivepier.messages import VotersCommand
from chivepier.state.answer import Answer
from chivepier.state.machine import Machine
from chivepier.state.replica import Replica
from chivepier.state.snapshotpolicy import SnapshotPolicy
from chivepier.state.testing.checker import Checker
from chivepier.state.testing.memorydisk import MemoryDisk
from chivepier.state.testing.memorynetwork import MemoryNetwork
from chivepier.state.testing.memorystorage import MemoryStorage
from chivepier.state.testing.ratedclock import RatedClock
from chivepier.state.timing import Timing
from chivepier.types import ManualClock

STEP = 0.025
# passes of the loop after which every woken task has run to its next wait
PASSES = 12
RATES = (0.96, 1.0, 1.04)
TIMING = Timing()
SNAPSHOTS = SnapshotPolicy(most_entries=12)


class WatchedMachine(Machine):
    """A machine that reports what it applies."""

    def __init__(self, checker: Checker):
        super().__init__()
        self._checker = checker

    def apply(self, entry: Entry) -> Answer:
        """Apply an entry and report it."""
        self._checker.note_applied(entry)
        return super().apply(entry)


class Rig:
    """Starts, crashes and watches voters; leaving the context ends them.

    :param size: number of founding voters
    :param seed: of every fault, delay and election timeout
    :param replica_type: lets a test switch a safeguard off
    :param timing: election and lease times
    :param rates: of the voters' clocks, in the order of their starts
    """

    def __init__(
        self,
        size: int,
        seed: int = 0,
        replica_type: type[Replica] = Replica,
        timing: Timing = TIMING,
        rates: tuple[float, ...] = RATES,
    ):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.clock, self.rng)
        self.checker = Checker()
        self.timing = timing
        self.errors: list[AssertionError] = []
        self._rates = rates
        self.replicas: dict[str, Replica] = {}
        self.disks: dict[str, MemoryDisk] = {}
        self.storages: dict[str, MemoryStorage] = {}
        self._type = replica_type
        self._dying: list[asyncio.Task] = []
        names = [f"v{i}" for i in range(size)]
        command = VotersCommand(tuple(Voter(n, n) for n in names))
        first = Entry(1, 1, encode(command))
        for name in names:
            self.disks[name] = MemoryDisk(term=1, entries=(first,))

    async def __aenter__(self) -> "Rig":
        for name in list(self.disks):
            await self.start(name)
        return self

    async def __aexit__(self, *exc) -> None:
        for name in list(self.replicas):
            self.crash(name)
        # a handler that is cancelled in mid write waits for its end, too
        self._dying.append(asyncio.create_task(self.network.close()))
        while not all(task.done() for task in self._dying):
            # a cancelled write still runs to its end
            self.clock.advance(STEP)
            await asyncio.sleep(0)

    async def start(self, name: str) -> Replica:
        """Start a voter from what its disk holds.

        :param name: identity and address
        :returns: the running voter
        """
        disk = self.disks.setdefault(name, MemoryDisk())
        rate = self._rates[len(self.storages) % len(self._rates)]
        clock = RatedClock(self.clock, rate)
        self.storages[name] = MemoryStorage(disk, clock, self.rng)
        replica = self._type(
            name,
            self.storages[name],
            WatchedMachine(self.checker),
            self.network.connect(name),
            clock,
            self.timing,
            self.rng,
            "c",
            SNAPSHOTS,
        )
        self.replicas[name] = await replica.__aenter__()

        async def handle(message):
            if isinstance(message, AppendRequest | SnapshotRequest):
                self._check_sender(message)
            match message:
                case VoteRequest():
                    return await replica.handle_vote(message)
                case AppendRequest():
                    return await replica.handle_append(message)
                case SnapshotRequest():
                    return await replica.handle_snapshot(message)

        self.network.handlers[name] = handle
        return replica

    def _check_sender(self, message) -> None:
        # what a handler raises goes back over the link; keep it for step()
        try:
            self.checker.note_leader(message.term, message.leader)
        except AssertionError as error:
            self.errors.append(error)

    def crash(self, name: str) -> None:
        """Stop a voter; what was not synced is lost.

        :param name: which one
        """
        self.storages[name].crashed = True
        self.network.handlers.pop(name, None)
        replica = self.replicas.pop(name)
        self._dying.append(asyncio.create_task(replica.__aexit__()))

    def wipe(self, name: str) -> None:
        """Lose a stopped voter's disk.

        :param name: which one
        """
        del self.disks[name]

    def isolate(self, name: str, one_way: bool = False) -> None:
        """Cut every link between a voter and the others.

        :param name: which voter
        :param one_way: what it sends still arrives
        """
        for other in self.disks.keys() - {name}:
            self.network.cut.add((other, name))
            if not one_way:
                self.network.cut.add((name, other))

    def unlink(self, a: str, b: str) -> None:
        """Cut the link between two voters; a third still hears both."""
        self.network.cut |= {(a, b), (b, a)}

    async def step(self, seconds: float = STEP) -> None:
        """Let time pass and check the invariants at each moment.

        :param seconds: how long
        """
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end - 1e-9:
            self.clock.advance(STEP)
            for _ in range(PASSES):
                await asyncio.sleep(0)
                self.checker.look(self.replicas.values())
                if self.errors:
                    raise self.errors[0]

    async def wait(self, condition, seconds: float = 60.0) -> None:
        """Let time pass until a condition holds.

        :param condition: called without arguments
        :param seconds: after which the wait is given up
        :raises TimeoutError: when it did not come
        """
        end = self.clock.monotonic() + seconds
        while not condition():
            if self.clock.monotonic() > end:
                raise TimeoutError("the condition did not come")
            await self.step()

    def find_leader(self) -> Replica | None:
        """Return the voter that holds the lease, if there is one."""
        return next((r for r in self.replicas.values() if r.leads()), None)

    async def await_leader(self) -> Replica:
        """Let time pass until there is a leader that may be read from."""
        await self.wait(lambda: self._settled() is not None)
        return self._settled()

    def _settled(self) -> Replica | None:
        leader = self.find_leader()
        if leader is None or not leader._core.tenure.settled():
            return None
        return leader

    async def finish(self, work):
        """Run a coroutine to its end while time passes.

        :param work: the coroutine
        :returns: its result
        """
        task = asyncio.ensure_future(work)
        await self.wait(task.done)
        return await task

    async def propose(self, command: bytes) -> Answer:
        """Commit a command through the present leader.

        :param command: an encoded command message
        :returns: its answer
        """
        leader = await self.await_leader()
        return await self.finish(leader.propose(command))
