"""Migrates running generations off targets that are leaving."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.copyturns import CopyTurns
from chivepier.gateway.serving.crashguard import CrashGuard
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.identity import Identity
from chivepier.gateway.serving.kvorigin import KvOrigin
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.moveoutcome import MoveOutcome
from chivepier.gateway.serving.moveresult import MoveResult
from chivepier.gateway.serving.targetcalls import TargetCalls
from chivepier.gateway.targets import Liveness
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# Destinations tried for one generation in a row. The ones with the most free
# memory come first, so if three of them are full the others are full as well.
MAX_DESTINATIONS = 3
# Timeout of one copy, which may queue behind other copies.
COPY_TIMEOUT_SECONDS = 4.0
# Interval of checks for a destination with room, and for the first event of a
# generation that has not started.
POLL_INTERVAL_SECONDS = 0.1
# Seconds without data after which a target is probed. Longer than the pause of
# a preempted generation.
STALLED_SECONDS = 3.0
# Seconds without data after which a generation counts as lost if a probe can't
# tell. The target may be down, or just unreachable for some seconds.
UNREACHABLE_TIMEOUT_SECONDS = 10.0
# Interval of checks for such targets.
SILENCE_CHECK_INTERVAL_SECONDS = 0.5


class Mover:
    """Tracks running generations and moves those on leaving targets.

    The KV cache of a generation is copied once while it keeps running. Then
    it is stopped, and what was added meanwhile is copied. So the caller's
    stream pauses only for the second copy, which takes some milliseconds.

    :param calls: sends copy orders to targets
    :param balancer: ranks destinations
    :param table: the known targets and their states
    :param loads: loads of targets, and what other entries have to copy
    :param guard: tells which requests are quarantined
    :param clock: source of monotonic time
    :param log: receives the events of moves
    :param metrics: counts copies
    """

    def __init__(
        self,
        calls: TargetCalls,
        balancer: LoadBalancer,
        table: TargetTable,
        loads: LoadTracker,
        guard: CrashGuard,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._metrics = metrics
        self._calls = calls
        self._balancer = balancer
        self._table = table
        self._loads = loads
        self._guard = guard
        self._turns = CopyTurns(loads, clock)
        self._clock = clock
        self._log = log
        self._runs: dict[str, set[LiveRun]] = {}
        self._tasks: set[asyncio.Task] = set()

    def add(self, run: LiveRun) -> None:
        """Track a generation on its current target."""
        self._runs.setdefault(run.target.instance, set()).add(run)

    def remove(self, run: LiveRun) -> None:
        """Stop tracking a generation on its current target."""
        runs = self._runs.get(run.target.instance, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.target.instance, None)
            self._turns.forget(run.target.instance)

    def handle_state_change(
        self, target: Target, before: TargetState | None
    ) -> None:
        """Move all generations off a target that has started to leave.

        :param target: the target with its new state
        :param before: its previous state; ``None`` for a new target
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
            self._turns.announce(target.instance, due)
        for run in runs:
            self.start_move(run)

    def cancel_restarted(self, target: Target) -> None:
        """Cancel the generations of a target that has restarted.

        :param target: the target as known before the restart
        """
        for run in list(self._runs.get(target.instance, ())):
            run.abort()

    async def watch_silent_targets(self) -> None:
        """Check for silent targets periodically, until cancelled."""
        while True:
            await self._clock.sleep(SILENCE_CHECK_INTERVAL_SECONDS)
            await self.cancel_silent_runs()

    async def cancel_silent_runs(self) -> None:
        """Cancel the generations of targets that failed silently.

        The connection to a target that became unreachable is never closed, so
        callers whose request may run only once would wait until their
        deadline. A target that has lost only the voters still sends data, and
        its generations continue.
        """
        now = self._clock.monotonic()
        for name, runs in list(self._runs.items()):
            stalled = {
                run for run in runs if now - run.heard_at >= STALLED_SECONDS
            }
            if not stalled or not await self._is_gone(stalled):
                continue
            self._log.warn("target_gone", target=name, runs=len(stalled))
            for run in stalled:
                run.abort()

    async def _is_gone(self, stalled: set[LiveRun]) -> bool:
        """Return whether the target of stalled generations has failed."""
        now = self._clock.monotonic()
        last = max(stalled, key=lambda run: run.heard_at)
        if not self._table.is_silent(last.target, now):
            return False
        if now - last.heard_at >= UNREACHABLE_TIMEOUT_SECONDS:
            return True
        if not self._balancer.is_zone_open(last.target):
            return False
        match await self._calls.probe(last.target):
            case Liveness.ENDED:
                return True
            case Liveness.LIVES:
                found = await self._calls.identify(last.target, last.service)
                return found is Identity.OTHER
            case _:
                return False

    def cancel_held_back(self) -> None:
        """Cancel sends of quarantined requests that have not started to run.

        A request is quarantined after three targets ended under it, or under
        others with a part of its prompt. Targets may still be reading such
        requests; they drop one whose sender disconnects before it runs.
        """
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.first_event_at is None and self._guard.is_held(run.plan):
                run.withdrawn = True
                run.abort()

    def start_move(self, run: LiveRun) -> None:
        """Start to move a generation, unless it is already being moved."""
        engine = run.service.engine
        if run.handoff is not None or engine is None or not engine.moves:
            return
        if not run.movable or self._guard.is_held(run.plan):
            return
        run.handoff = asyncio.get_running_loop().create_future()
        self._track_task(asyncio.create_task(self._move(run, run.handoff)))

    def _track_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def busy(self) -> bool:
        """Whether any move is running or the state of one is still kept."""
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
            await self._drop_copy(run, found)
        if not handoff.done():
            handoff.set_result(found)
        if source not in self._runs:
            # the last run of this target ended during its turn; without
            # this, state of targets that are gone would accumulate
            self._turns.forget(source)

    async def _copy_in_turn(self, run: LiveRun) -> Handoff | None:
        """Copy the KV cache once the run has begun and a target has room.

        At a busy service each target finishes about one generation a second,
        so a destination is searched until the source ends.
        """
        source = run.target.instance
        while run.movable and self._runs_at(run, source):
            if run.first_event_at is not None and self._choose_destination(
                run, {source}
            ):
                async with self._turns.take(source, run):
                    found = await self._copy_to_any(run)
                if found is not None:
                    return found
            self._turns.withdraw(source, run)
            await run.wait_for_loss(POLL_INTERVAL_SECONDS)
            if run.lost.is_set():
                return None
        return None

    def _runs_at(self, run: LiveRun, source: str) -> bool:
        return not run.ended and run.target.instance == source

    async def _copy_to_any(self, run: LiveRun) -> Handoff | None:
        source, tried = run.target, {run.target.instance}
        for _ in range(MAX_DESTINATIONS):
            target = self._choose_destination(run, tried)
            if target is None or run.ended:
                break
            tried.add(target.instance)
            # many runs choose a destination at the same time: without this
            # they would all choose the same least-loaded one
            with self._reserve_load(run.counted_tokens, target):
                outcome, found = await self._copy_to(run, source, target)
            if found is not None or outcome is not MoveOutcome.NO_ROOM:
                return found
        return None

    @contextlib.contextmanager
    def _reserve_load(
        self, tokens: int, target: Target
    ) -> collections.abc.Iterator[None]:
        name = target.instance
        self._loads.adjust_own(name, tokens=tokens, receiving=1)
        try:
            yield
        finally:
            self._loads.adjust_own(name, tokens=-tokens, receiving=-1)

    async def _copy_to(
        self, run: LiveRun, source: Target, target: Target
    ) -> tuple[MoveOutcome, Handoff | None]:
        moved = await self._request_copy(run, source, target, last=False)
        if moved.outcome is not MoveOutcome.COPIED:
            return moved.outcome, None
        copy = Handoff(target, KvOrigin(source.address, moved.handle))
        if not run.movable:
            # its first event has shown it meanwhile
            await self._drop_copy(run, copy)
            return moved.outcome, None
        moved = await self._stop_and_copy(run, source, target)
        origin = KvOrigin(source.address, moved.handle)
        match moved.outcome:
            case MoveOutcome.COPIED:
                return moved.outcome, Handoff(target, origin)
            case MoveOutcome.NO_ROOM if moved.handle:
                # stopped, but no room for the second copy: the source
                # keeps the KV cache, and the generation resumes there
                return moved.outcome, Handoff(source, origin)
            case MoveOutcome.NOT_SENT if run.lost.is_set():
                return moved.outcome, copy
            case MoveOutcome.FAILED:
                # the source may have failed meanwhile: the first copy holds
                # all but the last few tokens
                run.stop_uncertain = True
                return moved.outcome, copy
            case _:
                # the order to stop was refused or never sent
                run.stopped = False
                await self._drop_copy(run, copy)
                return moved.outcome, None

    async def _stop_and_copy(
        self, run: LiveRun, source: Target, target: Target
    ) -> MoveResult:
        """Order the source to stop the run and to copy the remainder.

        An order that was not sent is repeated after a pause: the run was not
        stopped by it, and if its stream ends meanwhile it is complete.
        """
        last = self._clock.monotonic() + COPY_TIMEOUT_SECONDS
        while True:
            run.stopped = True
            moved = await self._request_copy(run, source, target, last=True)
            if moved.outcome is not MoveOutcome.NOT_SENT:
                return moved
            run.stopped = False
            await run.wait_for_loss(POLL_INTERVAL_SECONDS)
            if run.lost.is_set() or self._clock.monotonic() >= last:
                return moved

    def free_copy(self, run: LiveRun, copy: Handoff) -> None:
        """Free the copy of a generation that has finished.

        :param run: the run, which ended complete
        :param copy: the copy that was made of its KV cache
        """
        self._track_task(asyncio.create_task(self._drop_copy(run, copy)))

    async def _drop_copy(self, run: LiveRun, copy: Handoff) -> None:
        """Free a copy that no generation resumes from.

        Otherwise it would occupy memory for seconds, and generations on that
        target would be preempted for it.
        """
        elsewhere = copy.origin is not None and copy.target is not run.target
        # nothing is sent to an evacuated zone; a copy there is released by
        # its target
        if elsewhere and self._balancer.is_zone_open(copy.target):
            dropped = await self._calls.drop(copy.target, copy.origin.handle)
            self._log.info(
                "copy_dropped",
                id=run.request.id,
                target=copy.target.instance,
                dropped=dropped,
            )

    def _choose_destination(
        self, run: LiveRun, tried: set[str]
    ) -> Target | None:
        engine = run.service.engine
        # the last one is taken whatever its pace: the others may be full
        last = len(tried) >= MAX_DESTINATIONS
        return self._balancer.choose_destination(
            run.service.name,
            engine,
            run.counted_tokens,
            run.target,
            tried,
            run.copy_eligibility,
            None if last else run.plan.demand,
        )

    async def _request_copy(
        self, run: LiveRun, source: Target, target: Target, last: bool
    ) -> MoveResult:
        began = self._clock.monotonic()
        moved = await self._calls.move(
            source, run.request.id, target, last, COPY_TIMEOUT_SECONDS
        )
        self._metrics.record_move(moved.outcome.value)
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
        """Cancel all running moves."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
