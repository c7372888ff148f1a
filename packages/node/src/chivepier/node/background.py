"""Work that outlives its request."""

import asyncio
import collections.abc

import logbook

from chivepier.node.inprogress import InProgress
from chivepier.types import RequestError

log = logbook.Logger("background")


class Background:
    """Tasks that end what a request began; a graceful stop waits for them.

    A caller that leaves cancels its handler at any line.  What must be done
    all the same, such as to store an outcome or to give a permit back, runs
    here: without it the claim would stay open and the permit counted.
    """

    def __init__(self, progress: InProgress) -> None:
        self._progress = progress
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Start some work.

        :param work: what to run
        :returns: its task
        """
        task = asyncio.create_task(self._run(work))
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    async def _run(self, work: collections.abc.Coroutine):
        with self._progress.hold():
            return await work

    def _end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, RequestError):
            log.error("background work failed error={!r}", error)

    async def finish(self, work: collections.abc.Coroutine, alone: bool):
        """Run some work for a caller that may leave meanwhile.

        :param work: what to run
        :param alone: whether it goes to its end without the caller
        :returns: what it returns
        """
        if not alone:
            return await work
        return await asyncio.shield(self.spawn(work))

    async def join(self) -> None:
        """Wait until all is done."""
        while self._tasks:
            await asyncio.wait(self._tasks)
