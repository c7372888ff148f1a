"""A small deterministic engine on an event heap."""

from chivepier.policy.benchmarks.prefixcache import PREFIX_TOKENS
from chivepier.policy.benchmarks.prefixcache import PrefixCache
from chivepier.policy.benchmarks.sequence import Sequence
from chivepier.policy.benchmarks.shape import Shape

BLOCK = 16
PREFIX_BLOCKS = PREFIX_TOKENS // BLOCK
STALL_GAP = 0.25


class FakeEngine:
    """Continuous batching, paged memory, prefix cache, preemption.

    Each :meth:`step` ends one iteration and begins the next.  When a token
    needs a block and none is left, the stream of the lowest priority that
    came last is pushed off: it loses its memory and its place, waits again,
    and must compute its prompt and all that it had produced.
    """

    def __init__(self, name: str, zone: str, shape: Shape, gaps):
        self.name = name
        self.zone = zone
        self.shape = shape
        self.cache = PrefixCache()
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.preemptions = 0
        self.preempted_by: dict = {}
        self.leaving = False
        self.dead = False
        self.busy = False
        self._gaps = gaps
        self._blocks = 0
        self._yielding: list[Sequence] = []

    @property
    def total_blocks(self) -> int:
        """The memory's size."""
        return self.shape.capacity_tokens // BLOCK

    @property
    def used_tokens(self) -> int:
        """Tokens held by what runs, without idle cache entries."""
        used = len(self.cache) - self.cache.idle
        return (self._blocks + used * PREFIX_BLOCKS) * BLOCK

    def _free(self) -> int:
        held = self._blocks + len(self.cache) * PREFIX_BLOCKS
        return self.total_blocks - held

    def submit(self, sequence: Sequence) -> None:
        """Queue a generation."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Drop a generation and free its memory."""
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        elif sequence in self.running:
            self._remove(sequence)

    def step(self, now: float) -> tuple[list[Sequence], float | None]:
        """End the iteration under way and begin the next.

        :param now: the time, in seconds
        :returns: what finished, and how long the next iteration takes, or
            ``None`` where there is nothing to do
        """
        finished = self._deliver(now)
        self._admit()
        decoding = self._grow()
        chunk = self._prefill()
        if not self.running:
            self.busy = False
            return finished, None
        self.busy = True
        shape = self.shape
        seconds = shape.base + shape.per_stream * decoding
        seconds += shape.per_held * self.used_tokens
        seconds += shape.per_prefill * chunk
        return finished, seconds

    def _deliver(self, now: float) -> list[Sequence]:
        finished = []
        for sequence in self._yielding:
            gap = now - sequence.last
            sequence.last = now
            sequence.produced += 1
            sequence.private += 1
            if sequence.first is None:
                sequence.first = now
            else:
                ask = sequence.ask
                self._gaps[ask.team, ask.urgency].append(gap)
                if gap > STALL_GAP:
                    sequence.stalled += gap
            if sequence.produced >= sequence.length:
                finished.append(sequence)
        for sequence in finished:
            self._remove(sequence)
        self._yielding = []
        return finished

    def _remove(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        if sequence in self._yielding:
            self._yielding.remove(sequence)
        self._blocks -= sequence.blocks
        sequence.blocks = sequence.private = 0
        for key in reversed(sequence.chain[: sequence.shared]):
            self.cache.drop(key)
        sequence.shared = 0

    def _admit(self) -> None:
        if not self.waiting:
            return
        self.waiting.sort(key=lambda s: (-s.ask.urgency, s.arrived))
        while self.waiting and len(self.running) < self.shape.max_streams:
            if not self._start(self.waiting[0]):
                return
            self.running.append(self.waiting.pop(0))

    def _start(self, sequence: Sequence) -> bool:
        hits = self.cache.match(sequence.chain)
        total = sequence.ask.prompt_tokens + sequence.produced
        private = total - hits * PREFIX_TOKENS
        blocks = -(-(private + 1) // BLOCK)
        for key in sequence.chain[:hits]:
            self.cache.take(key)
        if not self._make_room(blocks):
            for key in reversed(sequence.chain[:hits]):
                self.cache.drop(key)
            return False
        self._blocks += blocks
        sequence.blocks = blocks
        sequence.private = private
        sequence.shared = hits
        sequence.todo = max(1, private)
        return True

    def _make_room(self, blocks: int) -> bool:
        if self._free() + self.cache.idle * PREFIX_BLOCKS < blocks:
            return False
        while self._free() < blocks:
            self.cache.evict()
        return True

    def _grow(self) -> int:
        decoding = [s for s in self.running if not s.todo]
        for sequence in decoding:
            if sequence.blocks == 0 or sequence.todo:
                continue
            if sequence.private + 1 <= sequence.blocks * BLOCK:
                continue
            while not self._make_room(1):
                victim = self._pick_victim()
                self._preempt(victim)
                if victim is sequence:
                    break
            else:
                sequence.blocks += 1
                self._blocks += 1
        self._yielding = [s for s in decoding if s.blocks]
        return len(self._yielding)

    def _pick_victim(self) -> Sequence:
        return min(self.running, key=lambda s: (s.ask.urgency, -s.arrived))

    def _preempt(self, sequence: Sequence) -> None:
        self._remove(sequence)
        sequence.todo = 0
        sequence.preempted += 1
        self.preemptions += 1
        key = sequence.ask.team, sequence.ask.urgency
        self.preempted_by[key] = self.preempted_by.get(key, 0) + 1
        self.waiting.append(sequence)

    def _prefill(self) -> int:
        left = self.shape.chunk_tokens
        for sequence in self.running:
            if not sequence.todo:
                continue
            part = min(left, sequence.todo)
            sequence.todo -= part
            left -= part
            if not sequence.todo:
                self._share(sequence)
                self._yielding.append(sequence)
            if not left:
                break
        return self.shape.chunk_tokens - left

    def _share(self, sequence: Sequence) -> None:
        for key in sequence.chain[sequence.shared :]:
            if self.cache.match((key,)):
                return
            self.cache.insert(key)
            sequence.shared += 1
            sequence.private -= PREFIX_TOKENS
            sequence.blocks -= PREFIX_BLOCKS
            self._blocks -= PREFIX_BLOCKS
