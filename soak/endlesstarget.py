"""A target that answers a part of its requests without end."""

import asyncio

from aiohttp import web

from soak.doubtfultarget import DoubtfulTarget
from soak.endless import ENDLESS
from soak.endless import ID_LINE

KINDS = tuple(ENDLESS)
# Bytes that wait in a connection before more are written.
MAX_WAITING_BYTES = 1 << 20
PAUSE_SECONDS = 0.001


class EndlessTarget(DoubtfulTarget):
    """Answers each second request without end, with each kind in turn.

    :ivar kinds: names of the kinds
    :ivar answers_some: whether it answers the other requests as it should
    :ivar begun: number of endless answers so far
    :ivar open: number of those whose connection is still open
    """

    refused_share = 0.0
    kinds = KINDS
    answers_some = True

    def __init__(self, *args):
        super().__init__(*args)
        self.begun = self.open = 0

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        number = int(request.path.rpartition("/")[2])
        if self.answers_some and number % 2:
            return await super()._serve(request)
        return await self._go_on(
            request, *ENDLESS[self.kinds[(self.begun + 1) % len(self.kinds)]]
        )

    async def _go_on(
        self, request: web.BaseRequest, first: bytes, more: bytes
    ) -> web.StreamResponse:
        self.begun += 1
        self.open += 1
        identity = request.headers["X-Chivepier-Request-Id"].encode()
        named = ID_LINE.replace(b"r1", identity)
        try:
            await _write(
                request.transport, first.replace(ID_LINE, named), more
            )
        finally:
            self.open -= 1
        raise asyncio.CancelledError


async def _write(transport, first: bytes, more: bytes) -> None:
    transport.write(first)
    while not transport.is_closing():
        if transport.get_write_buffer_size() > MAX_WAITING_BYTES:
            await asyncio.sleep(PAUSE_SECONDS)
        else:
            transport.write(10 * more)
            await asyncio.sleep(0)
