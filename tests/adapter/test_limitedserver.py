"""Tests of ending a server and its connections."""

import asyncio

from aiohttp import web
import pytest
import uvloop

from adapter.limitedserver import LimitedServer
from chivepier.gateway.config import Limits

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.mark.parametrize("used", (False, True))
def test_idle_connection_is_closed_before_others_end(used):
    """Guards against requests that a server reads as it ends, unanswered."""
    began, served = asyncio.Event(), asyncio.Event()
    served.set()

    async def serve(request):
        began.set()
        await served.wait()
        return web.Response()

    async def work():
        loop = asyncio.get_running_loop()
        server = LimitedServer(serve, Limits)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        idle, idle_writer = await asyncio.open_connection(*address)
        if used:
            idle_writer.write(REQUEST)
            await idle.readuntil(b"\r\n\r\n")
        began.clear()
        served.clear()
        busy, busy_writer = await asyncio.open_connection(*address)
        busy_writer.write(REQUEST)
        await began.wait()
        ended = asyncio.create_task(server.shutdown(5.0))
        async with asyncio.timeout(1.0):
            assert await idle.read() == b""
        assert not ended.done()
        served.set()
        assert (await busy.read()).startswith(b"HTTP/1.1 200")
        await ended
        listener.close()
        idle_writer.close()
        busy_writer.close()

    uvloop.run(work())
