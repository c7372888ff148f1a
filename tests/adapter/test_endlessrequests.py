"""Tests of requests that go on until they are refused."""

import asyncio
import contextlib
import tracemalloc

from aiohttp import web
import pytest
import uvloop

from adapter.limitedserver import LimitedServer
from chivepier.gateway.config import Limits
from entryfixture import run

CALLERS = 20
# Bytes that each sends, unless its connection is closed before.
SENT = 2 << 20
# Memory that all of them may take together, with all that belongs to them.
MAX_TAKEN = 8 << 20
CHUNKED = (
    b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\n"
    b"X-Chivepier-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"5\r\nhello\r\n"
NOISE = b"x" * (64 << 10)
READS = 64
PORTS = ("port", "ready_port", "metrics_port")


@pytest.mark.parametrize("port", PORTS)
def test_endless_chunks_of_requests_take_bounded_memory(port):
    # What was read ahead of each took some hundred times its size.
    answered = asyncio.Event()

    async def script(head, writer):
        await answered.wait()
        writer.close()

    async def press(fixture):
        _, writer = await asyncio.open_connection(
            "127.0.0.1", getattr(fixture, port)
        )
        writer.write(CHUNKED)
        data = CHUNK * ((64 << 10) // len(CHUNK))
        try:
            for _ in range(SENT // len(data)):
                writer.write(data)
                async with asyncio.timeout(0.5):
                    await writer.drain()
        except (ConnectionError, TimeoutError):
            pass
        return writer

    async def test(fixture):
        tracemalloc.start()
        try:
            work = [press(fixture) for _ in range(CALLERS)]
            writers = await asyncio.gather(*work)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        answered.set()
        for writer in writers:
            writer.transport.abort()
        assert peak < MAX_TAKEN

    run(script, test)


def test_bytes_that_are_no_request_are_not_kept():
    # Each read added an error with several copies of what could not be
    # parsed, while the request before them was still being served.
    began, served = asyncio.Event(), asyncio.Event()

    async def serve(request):
        began.set()
        await served.wait()
        return web.Response()

    async def work():
        loop = asyncio.get_running_loop()
        server = LimitedServer(serve, Limits)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await began.wait()
        with contextlib.suppress(ConnectionError, TimeoutError):
            for _ in range(READS):
                writer.write(NOISE)
                async with asyncio.timeout(0.2):
                    await writer.drain()
                # each is read by itself
                await asyncio.sleep(0.005)
        served.set()
        writer.transport.abort()
        listener.close()
        await server.shutdown(0.1)

    tracemalloc.start()
    try:
        uvloop.run(work())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < READS * len(NOISE) / 2
