"""The callers' requests in progress at this node."""

import collections.abc
import contextlib

from aiohttp import web

from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import Signal

CONTROL_PATHS = (
    "/v1/addresses",
    "/v1/operator/",
    "/v1/targets",
    "/-/",
    "/healthz",
    "/metrics",
    "/readyz",
)


class InProgress:
    """Counts them, and refuses new ones once told to."""

    def __init__(self) -> None:
        self.count = 0
        self.refusing = False
        self._changed = Signal()

    @web.middleware
    async def track(self, request: web.Request, handler) -> web.StreamResponse:
        """Count a request from its head to the end of its answer."""
        if request.path.startswith(CONTROL_PATHS):
            return await handler(request)
        if self.refusing:
            text = "this instance is stopping: ask for addresses again"
            raise RequestError.of(ErrorKind.DRAINING, text)
        with self.hold():
            return await handler(request)

    @contextlib.contextmanager
    def hold(self) -> collections.abc.Iterator[None]:
        """Count a request, or what it left to be done, while in it."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1
            self._changed.set()

    async def wait_idle(self) -> None:
        """Return once none is in progress."""
        while self.count:
            await self._changed.wait()
