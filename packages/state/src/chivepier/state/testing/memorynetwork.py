"""Links in memory with seeded faults."""

import asyncio
import random
import typing

from chivepier.types import Clock
from chivepier.wire import LinkError


class MemoryNetwork:
    """Carries requests between voters; loses, delays and repeats them.

    :param clock: the common clock
    :param rng: draws every fault
    """

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self.loss = 0.0
        self.repeat = 0.0
        self.slowest = 0.01
        self.cut: set[tuple[str, str]] = set()
        self.handlers: dict[str, typing.Callable] = {}
        self._tasks: set[asyncio.Task] = set()

    def connect(self, me: str) -> "MemoryLinks":
        """Return one instance's links.

        :param me: its address
        :returns: a transport
        """
        return MemoryLinks(self, me)

    async def carry(self, me: str, peer: str, value, timeout: float):
        """Ask a peer and return its answer.

        :param me: who asks
        :param peer: who is asked
        :param value: the message
        :param timeout: seconds
        :returns: the answer
        :raises LinkError: when request or answer were lost or late
        """
        future = asyncio.get_running_loop().create_future()
        times = 2 if self._rng.random() < self.repeat else 1
        for _ in range(times):
            self._spawn(self._deliver(me, peer, value, future))
        self._spawn(self._expire(timeout, future))
        answer = await future
        if answer is None:
            raise LinkError(f"no answer from {peer}", sent=True)
        return answer

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, me: str, peer: str, value, future) -> None:
        if not await self._travel(me, peer):
            return
        handler = self.handlers.get(peer)
        if handler is None:
            return
        try:
            answer = await handler(value)
        except Exception:
            # a peer that fails says so in words nobody acts on
            return
        if self.handlers.get(peer) is not handler:
            # it crashed meanwhile: what it did last was perhaps not synced
            return
        arrived = await self._travel(peer, me)
        if arrived and not future.done():
            future.set_result(answer)

    async def _travel(self, start: str, end: str) -> bool:
        await self._clock.sleep(self._rng.random() * self.slowest)
        if (start, end) in self.cut:
            return False
        return self._rng.random() >= self.loss

    async def _expire(self, timeout: float, future) -> None:
        await self._clock.sleep(timeout)
        if not future.done():
            future.set_result(None)

    async def close(self) -> None:
        """Drop what is under way."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class MemoryLinks:
    """One instance's end of a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, me: str):
        self._network = network
        self._me = me

    async def request(self, peer: str, value, timeout: float):
        """Ask a peer; see :meth:`MemoryNetwork.carry`."""
        return await self._network.carry(self._me, peer, value, timeout)
