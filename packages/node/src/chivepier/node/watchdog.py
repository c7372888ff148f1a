"""Noticing that nothing comes."""

import asyncio
import collections.abc


class Watchdog:
    """Calls back once nothing was noted for a time; a context manager.

    A timer for each token would cost more than the token's own relaying:
    here a token is one attribute, and one timer looks at it now and then.

    :param seconds: how long nothing may come
    :param expire: called once when the time is over
    """

    def __init__(
        self, seconds: float, expire: collections.abc.Callable[[], None]
    ):
        self._seconds = seconds
        self._expire = expire
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.last = self._loop.time()

    def __enter__(self) -> "Watchdog":
        self._arm(self._seconds)
        return self

    def __exit__(self, *exc) -> None:
        self._timer.cancel()

    def _arm(self, seconds: float) -> None:
        self._timer = self._loop.call_later(seconds, self._look)

    def _look(self) -> None:
        left = self.last + self._seconds - self._loop.time()
        if left > 0:
            # ``last`` may be infinite while the reader is busy elsewhere
            self._arm(min(left, self._seconds))
        else:
            self._expire()
