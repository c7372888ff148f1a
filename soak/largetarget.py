"""A target whose answers are as large as each request asks for."""

import asyncio
import contextlib
import itertools

from aiohttp import web

from soak.answerfaults import AnswerFault
from soak.signature import sign
from soak.target import SoakTarget

LARGE_PATH = "/again/large"
ENDLESS_PATH = "/stream/endless"
LARGE_BYTES = 480 << 10
EVENT_BYTES = 4 << 10


class LargeTarget(SoakTarget):
    """Answers two paths with much, and the others as usual."""

    async def _run(
        self,
        request: web.BaseRequest,
        identity: str,
        echo: dict[str, str],
        fault_mode: str,
        fault: AnswerFault | None,
    ) -> web.StreamResponse:
        echo |= sign(self.instance)
        match request.path:
            case path if path == LARGE_PATH:
                return web.Response(body=b"x" * LARGE_BYTES, headers=echo)
            case path if path == ENDLESS_PATH:
                return await _stream(request, echo)
        return await super()._run(request, identity, echo, fault_mode, fault)


async def _stream(
    request: web.BaseRequest, echo: dict[str, str]
) -> web.StreamResponse:
    response = web.StreamResponse(headers=echo)
    response.content_type = "text/event-stream"
    response.enable_chunked_encoding()
    data = b"x" * EVENT_BYTES
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        for number in itertools.count(1):
            await response.write(b"id: %d\ndata: %b\n\n" % (number, data))
            await asyncio.sleep(0)
    return response
