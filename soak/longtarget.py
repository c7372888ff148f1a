"""A target whose answers take as long as each request asks for."""

import asyncio
import contextlib
import time

from aiohttp import web

from soak.invariantchecker import make_expected_body
from soak.signature import sign
from soak.target import REPEATABLE_PATHS
from soak.target import SoakTarget
from soak.target import STREAM_PATHS

EVENT_SECONDS = 0.1


class LongTarget(SoakTarget):
    """Works as long as the first part of a path says, in milliseconds.

    :ivar spans: begin and end of the work on each request, in monotonic
        seconds; the end is ``None`` while it lasts
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.spans: dict[str, list[float | None]] = {}

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        if request.headers["X-Chivepier-Expect-Instance"] != self.instance:
            return web.Response(status=421, headers=echo)
        await request.read()
        echo |= sign(self.instance)
        span = self.spans[identity] = [time.monotonic(), None]
        if not request.path.startswith(REPEATABLE_PATHS):
            self._checker.record_run(identity)
        seconds = int(request.path.split("/")[2]) / 1000
        try:
            if request.path.startswith(STREAM_PATHS):
                response = web.StreamResponse(headers=echo)
                with contextlib.suppress(ConnectionError):
                    await _stream_for(request, response, seconds)
                return response
            await asyncio.sleep(seconds)
        finally:
            span[1] = time.monotonic()
        return web.Response(body=make_expected_body(identity), headers=echo)


async def _stream_for(
    request: web.BaseRequest, response: web.StreamResponse, seconds: float
) -> None:
    response.content_type = "text/event-stream"
    response.enable_chunked_encoding()
    await response.prepare(request)
    count = max(1, round(seconds / EVENT_SECONDS))
    for number in range(1, count + 1):
        await asyncio.sleep(EVENT_SECONDS)
        text = "end" if number == count else "part"
        event = f"id: {number}\ndata: {text}\n\n".encode()
        await response.write(event)
    await response.write_eof()
