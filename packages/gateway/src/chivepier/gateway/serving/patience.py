"""How long an attempt is waited for whose request may run again."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.serving.departure import Departure
from chivepier.gateway.serving.plan import Plan


class Patience:
    """Gives up an attempt after some time, but only for a repeat that can end.

    :param plan: the plan of the request
    :param seconds: time after which a repeat is worth it
    :param departure: tells whether a repeat ends before this process
    """

    def __init__(self, plan: Plan, seconds: float, departure: Departure):
        self._plan = plan
        self._seconds = seconds
        self._departure = departure

    @contextlib.contextmanager
    def limit(
        self, timeout: asyncio.Timeout
    ) -> collections.abc.Iterator[None]:
        """Limit the wait for an attempt.

        :param timeout: the limit that its deadline sets, which is moved
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._seconds, self._end, timeout)
        try:
            yield
        finally:
            timer.cancel()

    def _end(self, timeout: asyncio.Timeout) -> None:
        if timeout.expired():
            return
        if self._departure.may_repeat(self._plan, self._seconds):
            timeout.reschedule(asyncio.get_running_loop().time())
