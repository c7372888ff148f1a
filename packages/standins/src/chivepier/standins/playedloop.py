"""An event loop whose time passes only when there is nothing left to do."""

import asyncio
import collections.abc
import typing

from chivepier.standins.playedselector import PlayedSelector

# Seconds at which played time begins.
START_SECONDS = 1000.0

FindDelay = collections.abc.Callable[[float], float]


def find_none(now: float) -> float:
    """Return no delay."""
    return 0.0


class PlayedLoop(asyncio.SelectorEventLoop):
    """Plays a whole control plane of one process in its own time.

    Timers of a busy machine are late by more than many bounds that are
    tested. Here work takes no time at all, and where nothing is left to do
    time jumps to the next timer: what comes before what does not depend on
    how fast the machine is. Sockets are real, and so are files.

    >>> async def rest():
    ...     loop = asyncio.get_running_loop()
    ...     began = loop.time()
    ...     await asyncio.sleep(2.5)
    ...     return round(loop.time() - began, 3)
    >>> play_time(rest())
    2.5

    :param find_delay: is told the seconds played in each round of the loop,
        and returns for how many the process stands still
    """

    def __init__(self, find_delay: FindDelay = find_none):
        self._seconds = START_SECONDS
        self._find_delay = find_delay
        self._threads = 0
        super().__init__(PlayedSelector(self._is_waiting, self._pass))

    def time(self) -> float:
        """Return the seconds played."""
        return self._seconds

    def run_in_executor(
        self,
        executor: typing.Any,
        func: collections.abc.Callable,
        *args: typing.Any,
    ) -> asyncio.Future:
        """Run a call in a thread; time stands still until it has ended."""
        future = super().run_in_executor(executor, func, *args)
        self._threads += 1
        future.add_done_callback(self._note_end)
        return future

    def _note_end(self, future: asyncio.Future) -> None:
        self._threads -= 1

    def _is_waiting(self) -> bool:
        return self._threads > 0

    def _pass(self, seconds: float) -> None:
        self._seconds += seconds
        self._seconds += self._find_delay(self._seconds)


def play_time(
    work: collections.abc.Coroutine, find_delay: FindDelay = find_none
) -> typing.Any:
    """Run a coroutine in played time.

    :param find_delay: as for :class:`PlayedLoop`
    :returns: what it returns
    """

    def make_loop() -> PlayedLoop:
        return PlayedLoop(find_delay)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(work)
