"""Moving live generations off targets that leave."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.copyturns import CopyTurns
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.moved import Moved
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Destinations that are tried for one generation in a row: the most roomy ones
# come first, and where three of them are full the others are.
MOST_TRIES = 3
# Seconds to wait for one copy, which waits for those before it.
COPY_SECONDS = 4.0
# Seconds between two looks for room, or for the first event of a generation
# that has not begun.
LOOK_PAUSE = 0.1
# Seconds without a byte after which it is looked whether a target has ended;
# longer than the pause of a preempted generation.
STALLED_SECONDS = 3.0
# Seconds without a byte after which a generation counts as lost where that
# can't be seen: the target is dark, or cut off, as it may be for some seconds.
GONE_SECONDS = 10.0
# Seconds between two looks for such targets.
SILENCE_PAUSE = 0.5


class Mover:
    """Keeps the live generations and moves those whose target leaves.

    A first copy is made while the generation goes on; then it is stopped,
    and what it made meanwhile is copied. So the caller's stream pauses for
    the second copy only, some milliseconds, and not for the first.

    :param calls: reaches targets
    :param chooser: finds destinations
    :param table: which targets leave
    :param board: what the other entries have to move
    :param guard: knows what must not run anywhere else
    :param clock: monotonic time
    :param log: decisions on requests
    :param metrics: counts copies
    """

    def __init__(
        self,
        calls: TargetCalls,
        chooser: Chooser,
        table: TargetTable,
        board: LoadBoard,
        guard: CrashGuard,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._metrics = metrics
        self._calls = calls
        self._chooser = chooser
        self._table = table
        self._board = board
        self._guard = guard
        self._turns = CopyTurns(board, clock)
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
            self._turns.forget(run.target.instance)

    def note_target(self, target: Target, before: TargetState | None) -> None:
        """Move everything off a target that has begun to leave.

        :param target: as announced
        :param before: its state until now
        """
        if target.state is TargetState.READY or before is target.state:
            return
        runs = list(self._runs.get(target.instance, ()))
        due = {
            run
            for run in runs
            if run.movable and run.first_event_at is not None
        }
        if due:
            self._turns.expect(target.instance, due)
        for run in runs:
            self.start(run)

    def note_restart(self, target: Target) -> None:
        """Break off what ran at a target that has started again.

        :param target: as it was known before
        """
        for run in list(self._runs.get(target.instance, ())):
            run.abort()

    async def watch_silence(self) -> None:
        """Look for targets that have gone, for as long as the node lives."""
        while True:
            await self._clock.sleep(SILENCE_PAUSE)
            await self.end_silent()

    async def end_silent(self) -> None:
        """Break off what ran at targets that have gone without a word.

        Nothing ends the connection to a target that went dark: a caller whose
        request may run once only would wait up to its deadline. A target that
        is cut off from the voters alone still sends, and what it runs goes on.
        """
        now = self._clock.monotonic()
        for name, runs in list(self._runs.items()):
            stalled = {
                run for run in runs if now - run.heard_at >= STALLED_SECONDS
            }
            if not stalled or not await self._has_gone(stalled):
                continue
            self._log.warn("target_gone", target=name, runs=len(stalled))
            for run in stalled:
                run.abort()

    async def _has_gone(self, stalled: set[LiveRun]) -> bool:
        """Tell whether the target of stalled generations has ended."""
        now = self._clock.monotonic()
        last = max(stalled, key=lambda run: run.heard_at)
        if not self._table.is_silent(last.target, now):
            return False
        if now - last.heard_at >= GONE_SECONDS:
            return True
        if not self._chooser.is_open(last.target):
            return False
        return await self._calls.probe(last.target) is Liveness.ENDED

    def note_held(self, digest: str) -> None:
        """Break off what has not begun of a request that is held back.

        Its copies are being read at other targets when the third one ends;
        targets drop what its sender leaves before it runs.

        :param digest: the request's
        """
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.first_event_at is None and run.plan.digest == digest:
                run.abort()

    def start(self, run: LiveRun) -> None:
        """Begin to move one generation, unless that is under way."""
        engine = run.service.engine
        if run.handoff is not None or engine is None or not engine.moves:
            return
        if not run.movable or self._guard.is_held(run.plan):
            return
        run.handoff = asyncio.get_running_loop().create_future()
        self._keep(asyncio.create_task(self._move(run, run.handoff)))

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def busy(self) -> bool:
        """Whether any move is under way, or anything is kept of one."""
        return bool(self._tasks or self._turns.sources)

    async def _move(
        self, run: LiveRun, handoff: asyncio.Future[Handoff | None]
    ) -> None:
        found, source = None, run.target.instance
        try:
            found = await self._copy_in_turn(run)
        except Exception as error:
            self._log.warn("move_failed", id=run.request.id, error=repr(error))
        if found is not None and run.ended:
            await self._drop(run, found)
        if not handoff.done():
            handoff.set_result(found)
        if source not in self._runs:
            # the last run there ended while its turn was taken: targets come
            # and go, and what is kept of each would pile up
            self._turns.forget(source)

    async def _copy_in_turn(self, run: LiveRun) -> Handoff | None:
        """Copy the memory as soon as it is there and a target has room.

        At a busy service some generation ends at each target every second,
        so room is looked for as long as the notice lasts.
        """
        source = run.target.instance
        while not run.ended and run.target.instance == source:
            if run.first_event_at is not None and self._pick(run, {source}):
                async with self._turns.take(source, run):
                    found = await self._copy_somewhere(run)
                if found is not None:
                    return found
            self._turns.skip(source, run)
            await run.wait_for_loss(LOOK_PAUSE)
            if run.lost.is_set():
                return None
        return None

    async def _copy_somewhere(self, run: LiveRun) -> Handoff | None:
        source, tried = run.target, {run.target.instance}
        for _ in range(MOST_TRIES):
            target = self._pick(run, tried)
            if target is None or run.ended:
                break
            tried.add(target.instance)
            # many runs look for a place at the same moment: without this
            # all would take the one that was the emptiest before
            with self._book(run.counted_tokens, target):
                outcome, found = await self._copy_to(run, source, target)
            if found is not None or outcome is not MoveOutcome.NO_ROOM:
                return found
        return None

    @contextlib.contextmanager
    def _book(
        self, tokens: int, target: Target
    ) -> collections.abc.Iterator[None]:
        name = target.instance
        self._board.change(name, tokens=tokens, receiving=1)
        try:
            yield
        finally:
            self._board.change(name, tokens=-tokens, receiving=-1)

    async def _copy_to(
        self, run: LiveRun, source: Target, target: Target
    ) -> tuple[MoveOutcome, Handoff | None]:
        moved = await self._copy(run, source, target, last=False)
        if moved.outcome is not MoveOutcome.COPIED:
            return moved.outcome, None
        copy = Handoff(target, KvOrigin(source.address, moved.handle))
        moved = await self._stop(run, source, target)
        origin = KvOrigin(source.address, moved.handle)
        match moved.outcome:
            case MoveOutcome.COPIED:
                return moved.outcome, Handoff(target, origin)
            case MoveOutcome.NO_ROOM if moved.handle:
                # stopped, but the rest found no room: the source goes on
                return moved.outcome, Handoff(source, origin)
            case MoveOutcome.NOT_SENT if run.lost.is_set():
                return moved.outcome, copy
            case MoveOutcome.FAILED:
                # the source may have ended meanwhile: the first copy holds
                # all but the last few tokens
                run.stop_uncertain = True
                return moved.outcome, copy
            case _:
                # refused or never sent, it stopped nothing
                run.stopped = False
                await self._drop(run, copy)
                return moved.outcome, None

    async def _stop(
        self, run: LiveRun, source: Target, target: Target
    ) -> Moved:
        """Order the source to stop and to copy the rest.

        An order that never left stopped nothing: a stream that ends meanwhile
        is whole, and one that goes on is ordered to stop again.
        """
        last = self._clock.monotonic() + COPY_SECONDS
        while True:
            run.stopped = True
            moved = await self._copy(run, source, target, last=True)
            if moved.outcome is not MoveOutcome.NOT_SENT:
                return moved
            run.stopped = False
            await run.wait_for_loss(LOOK_PAUSE)
            if run.lost.is_set() or self._clock.monotonic() >= last:
                return moved

    def free(self, run: LiveRun, copy: Handoff) -> None:
        """Let go of a copy whose generation has come to its end.

        :param run: that ended whole
        :param copy: that was made of it meanwhile
        """
        self._keep(asyncio.create_task(self._drop(run, copy)))

    async def _drop(self, run: LiveRun, copy: Handoff) -> None:
        """Free a copy that nothing goes on from.

        It would keep memory for seconds, and generations there would be
        preempted for it.
        """
        elsewhere = copy.origin is not None and copy.target is not run.target
        # nothing is sent to a zone that is evacuated; it yields by itself
        if elsewhere and self._chooser.is_open(copy.target):
            dropped = await self._calls.drop(copy.target, copy.origin.handle)
            self._log.info(
                "copy_dropped",
                id=run.request.id,
                target=copy.target.instance,
                dropped=dropped,
            )

    def _pick(self, run: LiveRun, tried: set[str]) -> Target | None:
        engine = run.service.engine
        return self._chooser.choose_destination(
            run.service.name,
            engine,
            run.counted_tokens,
            run.target,
            tried,
            run.plan.regions,
        )

    async def _copy(
        self, run: LiveRun, source: Target, target: Target, last: bool
    ) -> Moved:
        began = self._clock.monotonic()
        moved = await self._calls.move(
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
