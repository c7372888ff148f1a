"""Continuous batching."""

import asyncio

from chivepier.standins.engine.costs import Costs
from chivepier.standins.engine.memory import Memory
from chivepier.standins.engine.stream import Stream
from chivepier.types import Clock

IDLE_SECONDS = 0.002


class Batch:
    """Steps all running streams together, one token each.

    Streams wait until memory holds their prompt.  When a running stream
    needs a block and there is none, the stream of lowest priority, the
    latest of these, is preempted: it loses its memory and must be prefilled
    again.
    """

    def __init__(self, clock: Clock, costs: Costs, memory: Memory, most: int):
        self._clock = clock
        self._costs = costs
        self._most = most
        self.memory = memory
        self.waiting: list[Stream] = []
        self.running: list[Stream] = []
        self.preemptions = 0

    def add(self, stream: Stream) -> None:
        """Take a stream in."""
        self.waiting.append(stream)

    def cancel(self, stream: Stream) -> None:
        """End a stream; its readers are woken."""
        stream.cancelled = True
        self._remove(stream)
        stream.wake()

    def _remove(self, stream: Stream) -> None:
        if stream in self.running:
            self.running.remove(stream)
        if stream in self.waiting:
            self.waiting.remove(stream)
        self.memory.drop(stream.generation)

    async def run(self) -> None:
        """Step for as long as the engine lives."""
        while True:
            seconds = self.step()
            await self._clock.sleep(seconds or IDLE_SECONDS)

    def step(self) -> float:
        """Run one step of the batch.

        :returns: the seconds it takes; 0 when there is nothing to do
        """
        self._admit()
        if not self.running:
            return 0.0
        budget = self._costs.prefill_chunk
        prefill = decoded = 0
        for stream in list(self.running):
            left = self._prefill_left(stream)
            if left:
                chunk = min(left, budget - prefill)
                stream.prefilled += chunk
                prefill += chunk
                if chunk < left:
                    continue
                self.memory.keep_prefixes(stream.hash_prefixes())
            if stream in self.running and self._grow(stream):
                decoded += 1
        return self._costs.step(decoded, prefill)

    def _prefill_left(self, stream: Stream) -> int:
        return stream.prompt_tokens + stream.tokens - stream.prefilled

    def _admit(self) -> None:
        self.waiting.sort(key=lambda s: (-s.priority, s.arrived))
        while self.waiting and len(self.running) < self._most:
            stream = self.waiting[0]
            tokens = stream.prompt_tokens + stream.tokens + 1
            if not self.memory.hold(stream.generation, tokens):
                return
            self.waiting.pop(0)
            stream.prefilled = self.memory.match(stream.hash_prefixes())
            stream.prefilled = min(stream.prefilled, stream.prompt_tokens - 1)
            self.running.append(stream)

    def _grow(self, stream: Stream) -> bool:
        tokens = stream.prompt_tokens + stream.tokens + 1
        while not self.memory.hold(stream.generation, tokens):
            victim = min(self.running, key=lambda s: (s.priority, -s.arrived))
            self._preempt(victim)
            if victim is stream:
                return False
        stream.add_token()
        stream.prefilled += 1
        if stream.finished:
            self._remove(stream)
        return True

    def _preempt(self, stream: Stream) -> None:
        self.running.remove(stream)
        self.memory.drop(stream.generation)
        stream.prefilled = 0
        stream.preemptions += 1
        self.preemptions += 1
        alone = not self.running
        if alone and not self._fits(stream):
            # it can never fit: end it instead of trying for ever
            stream.cancelled = True
            stream.wake()
            return
        self.waiting.append(stream)

    def _fits(self, stream: Stream) -> bool:
        tokens = stream.prompt_tokens + stream.tokens + 1
        fits = self.memory.hold(stream.generation, tokens)
        self.memory.drop(stream.generation)
        return fits


async def wait_grown(stream: Stream, seconds: float) -> None:
    """Wait until a stream has a new token or ends.

    :param stream: the stream
    :param seconds: wait no longer than this
    """
    event = stream.grown
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
