"""Moving live generations off targets that leave."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.liverun import milliseconds
from chivepier.gateway.serving.moved import MoveOutcome
from chivepier.gateway.serving.origin import Origin
from chivepier.gateway.serving.targetport import TargetPort
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Destinations that are tried for one generation in a row: the most roomy ones
# come first, and where three of them are full the others are.
MOST_TRIES = 3
# Seconds to wait for one copy. A copy of 6,000 tokens takes 0.4 s on an idle
# link, twice that between zones, and waits for the copies before it.
COPY_SECONDS = 4.0
# Seconds after its first event at which a generation's copy is relied on:
# parts are sent several times a second, and the prompt's takes 0.2 s.
BACKUP_SECONDS = 0.8
# Seconds between two tries to move a generation that has not begun.
START_PAUSE = 0.1
# Generations with a copy go on there after this share of the notice. Some
# end before; the rest of it is left for machines that are slow.
SAFE_SHARE = 0.5
# Seconds until entries know of each other what they have to copy: gathered
# for 0.02 s at each and for 0.04 s where it is passed on.
EXCHANGE_SECONDS = 0.08
# Seconds to wait for other entries' copies at most: a target that leaves
# gives a notice of about two seconds.
MOST_TURN = 1.2


class Mover:
    """Keeps the live generations and moves those whose target leaves.

    Where another target keeps a growing copy, the generation goes on there
    at once. Else a first copy is made while the generation goes on; then it
    is stopped, and what it made meanwhile is copied. So the caller's stream
    pauses for the second copy only, some milliseconds, and not for the
    first.

    :param port: the protocol towards targets
    :param chooser: finds destinations
    :param table: which targets leave
    :param board: what the other entries have to move
    :param notice: seconds for which a target that leaves still serves
    :param clock: monotonic time
    :param log: decisions on requests
    :param metrics: counts copies
    """

    def __init__(
        self,
        port: TargetPort,
        chooser: Chooser,
        table: TargetTable,
        board: LoadBoard,
        notice: float,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._metrics = metrics
        self._port = port
        self._chooser = chooser
        self._table = table
        self._board = board
        self._notice = notice
        self._turns: dict[str, asyncio.Lock] = {}
        self._clock = clock
        self._log = log
        self._runs: dict[str, set[LiveRun]] = {}
        self._tasks: set[asyncio.Task] = set()

    def add(self, run: LiveRun) -> None:
        """Watch a generation at its target."""
        self._runs.setdefault(run.target.instance, set()).add(run)

    def remove(self, run: LiveRun) -> None:
        """Stop watching it there."""
        runs = self._runs.get(run.target.instance, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.target.instance, None)
            self._turns.pop(run.target.instance, None)
            self._board.take_turn(run.target.instance, 0)

    def note_target(self, target: Target, before: TargetState | None) -> None:
        """Move everything off a target that has begun to leave.

        :param target: as announced
        :param before: its state until now
        """
        if target.state is TargetState.READY or before is target.state:
            return
        self._note_lost_copies(target)
        runs = list(self._runs.get(target.instance, ()))
        seconds = sum(
            run.copy_seconds()
            for run in runs
            if run.moves and not self._is_safe(run)
        )
        if seconds:
            self._board.take_turn(target.instance, milliseconds(seconds))
        for run in runs:
            self.start(run)

    def _note_lost_copies(self, target: Target) -> None:
        for runs in self._runs.values():
            for run in runs:
                backup = run.backup
                if backup is not None and backup.instance == target.instance:
                    exposed = milliseconds(run.end_seconds())
                    self._board.change(run.target.instance, exposed=exposed)
                    run.bare = True

    def start(self, run: LiveRun) -> None:
        """Begin to move one generation, unless that is under way."""
        engine = run.service.engine
        if run.handoff is not None or engine is None or not engine.moves:
            return
        if not run.moves:
            return
        run.handoff = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._move(run, run.handoff))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def busy(self) -> bool:
        """Whether any move is under way."""
        return bool(self._tasks)

    def _is_safe(self, run: LiveRun) -> bool:
        """Tell whether a copy is kept that the generation can go on from."""
        backup = run.backup
        return backup is not None and not self._table.leaves(backup.instance)

    async def _move(
        self, run: LiveRun, handoff: asyncio.Future[Handoff | None]
    ) -> None:
        found = None
        try:
            if self._is_safe(run) and await self._use_backup(run):
                return
            found = await self._copy_in_turn(run)
        except Exception as error:
            self._log.warn("move_failed", id=run.request.id, error=repr(error))
        if not handoff.done():
            handoff.set_result(found)

    async def _use_backup(self, run: LiveRun) -> bool:
        """Let it go on at the copy, late in the notice.

        At the next target a new copy is made of all its memory. Made at
        once, those copies would hold up the ones of generations that have
        none yet. Until then the copy surely holds the prompt, too.

        :param run: with a copy that can be used
        :returns: whether there is nothing left to be moved from here
        """
        await run.await_loss(SAFE_SHARE * self._notice)
        while not run.ended and self._is_safe(run):
            if run.lost.is_set():
                return False
            left = START_PAUSE
            if run.began is not None:
                left = run.began + BACKUP_SECONDS - self._clock.monotonic()
            if left <= 0:
                run.interrupt()
                return True
            await run.await_loss(min(left, START_PAUSE))
        return run.ended

    async def _copy_in_turn(self, run: LiveRun) -> Handoff | None:
        """Copy the memory when no other copy uses the source's link.

        All copies of one source share its link, one after the other. Asked
        for at once, the short second copies would wait behind the long
        first ones, with their generations stopped meanwhile.
        """
        source = run.target.instance
        await run.await_loss(EXCHANGE_SECONDS)
        before = self._board.before(source, self._clock.monotonic())
        await run.await_loss(min(before / 1000, MOST_TURN))
        lock = self._turns.setdefault(source, asyncio.Lock())
        while not run.ended and run.target.instance == source:
            # those of this entry go one by one
            async with lock:
                found = await self._copy_somewhere(run)
            if found is not None or run.began is not None:
                return found
            # it waits or is being read in: there is nothing to move yet
            await run.await_loss(START_PAUSE)
            if run.lost.is_set():
                return None
        return None

    async def _copy_somewhere(self, run: LiveRun) -> Handoff | None:
        source, tried = run.target, {run.target.instance}
        for _ in range(MOST_TRIES):
            target = self._pick(run, tried)
            if target is None:
                break
            tried.add(target.instance)
            # many runs look for a place at the same moment: without this
            # all would take the one that was the emptiest before
            self._board.change(target.instance, tokens=run.tokens)
            try:
                outcome, found = await self._copy_to(run, source, target)
            finally:
                self._board.change(target.instance, tokens=-run.tokens)
            if found is not None or outcome is MoveOutcome.NO_RUN:
                return found
        return None

    async def _copy_to(
        self, run: LiveRun, source: Target, target: Target
    ) -> tuple[MoveOutcome, Handoff | None]:
        moved = await self._copy(run, source, target, last=False)
        if moved.outcome is not MoveOutcome.COPIED:
            return moved.outcome, None
        run.stopped = True
        moved = await self._copy(run, source, target, last=True)
        if moved.outcome is MoveOutcome.NO_RUN:
            run.stopped = False
        if not moved.handle:
            return moved.outcome, None
        origin = Origin(source.address, moved.handle)
        if moved.outcome is MoveOutcome.COPIED:
            return moved.outcome, Handoff(target, origin)
        # stopped, but the rest found no room: the source goes on
        return moved.outcome, Handoff(source, origin)

    def _pick(self, run: LiveRun, tried: set[str]) -> Target | None:
        engine = run.service.engine
        demand = Demand(prompt=run.tokens, output=0)
        name = run.service.name
        return self._chooser.choose(
            name, engine, demand, tried, near=run.target.zone
        )

    async def _copy(
        self, run: LiveRun, source: Target, target: Target, last: bool
    ):
        began = self._clock.monotonic()
        moved = await self._port.move(
            source, run.request.id, target, last, COPY_SECONDS
        )
        self._metrics.note_move(moved.outcome.value)
        self._log.info(
            "memory_copied",
            id=run.request.id,
            source=source.instance,
            target=target.instance,
            last=last,
            outcome=moved.outcome.value,
            ms=round(1000 * (self._clock.monotonic() - began)),
        )
        return moved

    async def close(self) -> None:
        """Stop all moves."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
