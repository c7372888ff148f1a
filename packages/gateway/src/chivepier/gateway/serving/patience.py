"""How long an attempt is waited for whose request may run again."""

import asyncio
import collections.abc
import contextlib


class Patience:
    """Gives up an attempt after some time, but only for a repeat that can end.

    Without a repeat, it is given up as it takes longer than most do.

    :param seconds: time after which a repeat is worth it
    :param expected: how long the answer takes at most; ``None`` if not known
    :param may_repeat: tells whether a repeat would end in time
    :param take_retry: takes a retry from the budget, if it has one
    :ivar retry_taken: whether it was given up for a retry that was taken
    """

    def __init__(
        self,
        seconds: float,
        expected: float | None,
        may_repeat: collections.abc.Callable[[], bool],
        take_retry: collections.abc.Callable[[], bool],
    ):
        self.retry_taken = False
        self._seconds = seconds
        self._expected = expected
        self._may_repeat = may_repeat
        self._take_retry = take_retry
        self._timer: asyncio.TimerHandle | None = None
        self._waited = 0.0

    @contextlib.contextmanager
    def limit(
        self, timeout: asyncio.Timeout
    ) -> collections.abc.Iterator[None]:
        """Limit the wait for an attempt.

        :param timeout: the limit that its deadline sets, which is moved
        """
        self._start(timeout, self._seconds)
        try:
            yield
        finally:
            self._timer.cancel()

    def _start(self, timeout: asyncio.Timeout, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._judge, timeout)
        self._waited += seconds

    def _judge(self, timeout: asyncio.Timeout) -> None:
        if timeout.expired() or not self._may_repeat():
            return
        self.retry_taken = self._take_retry()
        left = (self._expected or 0.0) - self._waited
        if self.retry_taken or left <= 0.0:
            timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._start(timeout, left)
