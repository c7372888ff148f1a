"""Entries with fake engines that forward requests to each other."""

import asyncio
import contextlib
import random

from chivepier.gateway.forwarding import ForwardClient
from chivepier.gateway.forwarding import ForwardServer
from chivepier.gateway.forwarding import PeerList
from chivepier.gateway.messages import PeerRecord
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.reach import ReachProber
from chivepier.gateway.serving import BodyMemory
from chivepier.gateway.serving import Detour
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.playedloop import play_time
from chivepier.wire import Faults
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
LIMIT_SECONDS = 60.0


class PeerEntry:
    """One entry, which takes forwarded requests and forwards its own.

    :param name: its name
    :param targets: names of its targets, see :class:`Parts`
    """

    def __init__(self, name: str, targets: tuple[str, ...]):
        self.name = name
        self.parts = Parts(*targets)
        self.clock = LoopClock()
        self.leaving = False
        self.bodies = BodyMemory(8 << 20)
        self.log = self.parts.dispatcher.log
        self.links = Links(name, KEY, self._refuse, Faults(), self.clock)
        self.peers = PeerList("", "a", {}, self.clock, random.Random(name))
        client = ForwardClient(
            name,
            self.peers,
            self.links,
            self.parts.state,
            self.clock,
            self.log,
            Metrics(),
            self.parts.engines,
        )
        self.parts.dispatcher.detour = Detour(
            self.parts.reach, client, self.clock
        )
        self.forwards = ForwardServer(
            handler=self.parts.serving,
            bodies=self.bodies,
            state=self.parts.state,
            is_leaving=lambda: self.leaving,
            clock=self.clock,
            log=self.log,
            metrics=Metrics(),
        )
        self.server = PeerServer(
            "127.0.0.1", 0, self.forwards.handle, KEY, self.clock
        )
        self._stack = contextlib.AsyncExitStack()

    def _refuse(self, message, channel):
        raise AssertionError(f"unexpected {message}")

    async def __aenter__(self) -> "PeerEntry":
        await self._stack.enter_async_context(self.links)
        await self._stack.enter_async_context(self.server)
        self._stack.push_async_callback(self.forwards.close)
        self._stack.push_async_callback(self.parts.mover.close)
        self._stack.push_async_callback(self.parts.quarantine.close)
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()

    async def die(self) -> None:
        """End at once: its links break, and what it serves ends."""
        await self.forwards.close()
        for connection in list(self.server._server.connections):
            connection.transport.abort()
        self.server._server.close()

    @property
    def record(self) -> PeerRecord:
        """What voters name to the other entries."""
        lost = self.parts.reach.lost_services
        address = f"127.0.0.1:{self.server.port}"
        return PeerRecord(self.name, address, "a", lost, 1)

    def make_prober(self) -> ReachProber:
        """Make what tries targets after failures."""
        reach, calls = self.parts.reach, self.parts.dispatcher.calls
        return ReachProber(reach, calls.connect, self.clock, self.parts.rng)

    def cut(self, *targets: str) -> None:
        """Lose the links to some targets; open connections live on."""
        self.parts.engines.unreachable |= set(targets)

    def count_sends(self) -> int:
        """Return the number of sends that reached a target from here."""
        return len(self.parts.engines.orders)


class PeerSite:
    """Entries that know each other.

    :param count: number of entries
    :param targets: names of their targets, see :class:`Parts`
    """

    def __init__(self, count: int, targets: tuple[str, ...]):
        self.entries = [PeerEntry(f"e{n}", targets) for n in range(count)]
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "PeerSite":
        for entry in self.entries:
            await self._stack.enter_async_context(entry)
        self.introduce()
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()

    def introduce(self) -> None:
        """Name all entries to each other, with what they do not reach."""
        for entry in self.entries:
            records = [e.record for e in self.entries if e is not entry]
            entry.peers.replace(tuple(records))

    def count_sends(self) -> int:
        """Return the number of sends that reached targets."""
        return sum(entry.count_sends() for entry in self.entries)


def play_site(test, count: int = 2, targets: tuple[str, ...] = ("x",)):
    """Run a test coroutine with a site, in played time."""

    async def work():
        async with asyncio.timeout(LIMIT_SECONDS):
            async with PeerSite(count, targets) as site:
                return await test(site)

    return play_time(work())
