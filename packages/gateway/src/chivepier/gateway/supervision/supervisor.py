"""Runs the parts of a process, and begins anew those that fail."""

import asyncio
import collections
import collections.abc
import pathlib
import traceback

from chivepier.gateway.eventlog import EventLog
from chivepier.types import Clock

# Seconds before a part that has failed begins again: a passing fault costs
# little, and one that stays takes little of the processor.
RESTART_SECONDS = 0.2
# Seconds between two lines about failures of the same part.
LOG_SECONDS = 10.0
# Longest text of an error, and innermost calls, that a line shows.
MAX_ERROR_CHARS = 300
MAX_CALLS = 4

Work = collections.abc.Callable[[], collections.abc.Coroutine]
Count = collections.abc.Callable[[str], None]


def _count_nothing(part: str) -> None:
    return


class Supervisor:
    """Runs the parts of a process, and begins anew those that fail.

    A task that ends by an error is heard by nobody, and its process would go
    on without this part, and look well.

    :param clock: monotonic clock
    :param log: receives the failures
    :param count: is called with the name of a part at each of its failures
    """

    def __init__(
        self, clock: Clock, log: EventLog, count: Count = _count_nothing
    ):
        self._clock = clock
        self._log = log
        self._count = count
        self._tasks: set[asyncio.Task] = set()
        self._failures: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}

    def keep(self, part: str, work: Work) -> asyncio.Task:
        """Run a part until its task is cancelled, or its work has returned.

        :param part: name of the part
        :param work: makes the part's coroutine, again after each failure
        :returns: the task
        """
        return self._start(self._repeat(part, work))

    def start(
        self, part: str, work: collections.abc.Coroutine
    ) -> asyncio.Task:
        """Run some work once.

        :param part: name of the part that it belongs to
        :param work: the coroutine
        :returns: the task; others may await what it returns or raises
        """
        task = self._start(work)
        task.add_done_callback(lambda done: self._hear(part, done))
        return task

    def _start(self, work: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _repeat(self, part: str, work: Work) -> None:
        while True:
            try:
                await work()
                return
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                # what it waited for was cancelled, not this task
                self._note_failure(part, error)
            except Exception as error:
                self._note_failure(part, error)
            await self._clock.sleep(RESTART_SECONDS)

    def _hear(self, part: str, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._note_failure(part, task.exception())

    def _note_failure(self, part: str, error: BaseException) -> None:
        self._count(part)
        self._failures[part] += 1
        now = self._clock.monotonic()
        if now - self._logged_at.get(part, float("-inf")) < LOG_SECONDS:
            return
        self._logged_at[part] = now
        calls = traceback.extract_tb(error.__traceback__)[-MAX_CALLS:]
        self._log.warn(
            "part_failed",
            part=part,
            error=repr(error)[:MAX_ERROR_CHARS],
            failures=self._failures[part],
            calls=[
                f"{pathlib.Path(call.filename).name}:{call.lineno} {call.name}"
                for call in calls
            ],
        )
