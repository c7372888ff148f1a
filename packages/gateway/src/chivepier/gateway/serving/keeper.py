"""Keeping copies of generations that have lost theirs."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.moved import MoveOutcome
from chivepier.gateway.serving.origin import Origin
from chivepier.gateway.serving.targetport import TargetPort
from chivepier.gateway.targets import Chooser
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock

# A copy is brought up to date after this share of the time for which an
# unused one is kept: early enough to be late once.
REFRESH_SHARE = 0.5
# Seconds to wait for one copy at most.
COPY_SECONDS = 3.0


class Keeper:
    """Copies a generation's memory anew when the target of its copy leaves.

    A growing copy is asked for with the request only. When the target that
    keeps it leaves, the generation is left without one, and is cut when its
    own target goes next: with five targets that is one run in four at each
    departure. So its memory is copied once the notice is over, when the
    links are idle, and what it makes is added from time to time.

    :param port: the protocol towards targets
    :param chooser: finds targets with room to spare
    :param table: which targets leave
    :param board: counts the copies' memory
    :param notice: seconds for which a target that leaves still serves
    :param clock: monotonic time
    :param log: decisions on requests
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
    ):
        self._port = port
        self._chooser = chooser
        self._table = table
        self._board = board
        self._notice = notice
        self._clock = clock
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def start(self, run: LiveRun) -> None:
        """Begin to keep a copy of a generation.

        :param run: without a copy that can be used
        """
        engine = run.service.engine
        if run.kept or engine is None or not engine.moves:
            return
        run.kept = True
        task = asyncio.create_task(self._keep(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop keeping copies."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep(self, run: LiveRun) -> None:
        source = run.target
        refresh = REFRESH_SHARE * run.service.engine.copy_seconds
        await run.await_loss(self._notice)
        while self._needs(run, source):
            target = self._find_target(run)
            if target is None:
                await run.await_loss(refresh)
                continue
            self._board.change(target.instance, tokens=run.tokens)
            try:
                while self._needs(run, source) and await self._copy(
                    run, source, target
                ):
                    await run.await_loss(refresh)
            finally:
                self._board.change(target.instance, tokens=-run.tokens)
            await run.await_loss(refresh / 2)
        if run.target is source:
            run.kept = False

    def _needs(self, run: LiveRun, source: Target) -> bool:
        if run.ended or run.lost.is_set() or run.target is not source:
            return False
        return run.handoff is None

    def _find_target(self, run: LiveRun) -> Target | None:
        demand = Demand(prompt=run.tokens, output=0)
        engine = run.service.engine
        return self._chooser.choose_backup(
            run.service.name, engine, demand, run.target
        )

    async def _copy(
        self, run: LiveRun, source: Target, target: Target
    ) -> bool:
        if self._table.leaves(target.instance):
            return False
        async with run.copying:
            moved = await self._port.move(
                source, run.request.id, target, False, COPY_SECONDS
            )
        if moved.outcome is not MoveOutcome.COPIED:
            run.copy = None
            return False
        if run.copy is None:
            self._log.info(
                "copy_kept",
                id=run.request.id,
                source=source.instance,
                target=target.instance,
            )
        run.copy = Handoff(target, Origin(source.address, moved.handle))
        return True
