"""Tests of clients that hold memory, and bring or read hardly anything."""

import asyncio
import contextlib

from aiohttp import web
import attrs
import pytest
import uvloop

from adapter.clientbounds import ClientBounds
from adapter.clientneed import ClientNeed
from adapter.clientrefusal import ClientRefusal
from adapter.clientstage import ClientStage
from adapter.clientwatch import ClientWatch
from adapter.limitedserver import LimitedServer
from adapter.responsewriter import ResponseWriter
from chivepier.gateway.config import Limits
from chivepier.gateway.settings import InstanceLimits

ADDRESS = "127.0.0.1:0"
# More than the kernels of both sides hold.
LARGE = b"x" * (32 << 20)
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
# Longer than a client may stall while memory is scarce.
STALL_SECONDS = 2.5
STEP_SECONDS = 0.1


async def serve(request: web.BaseRequest) -> web.StreamResponse:
    """Read the body, and answer with much, without a length if asked to."""
    await request.read()
    if request.path == "/":
        return web.Response(body=LARGE)
    writer = ResponseWriter(request, False)
    await writer.begin(200, (), None)
    await writer.write(LARGE)
    await writer.finish(True)
    return writer.response


@contextlib.asynccontextmanager
async def run_server(stage, is_scarce, unsent_bytes=1 << 30):
    """Run a server; yield its port and what its metrics count."""
    reasons = []
    need = ClientNeed(
        frozenset({stage}), ClientRefusal.SLOW_BODY, lambda: is_scarce
    )
    bounds = ClientBounds.of(InstanceLimits())
    bounds = attrs.evolve(bounds, unsent_bytes=unsent_bytes)
    watch = ClientWatch(bounds, None, reasons.append, (need,))
    server = LimitedServer(serve, Limits, watch)
    listener = await server.listen(ADDRESS, 16)
    try:
        yield listener.sockets[0].getsockname()[1], reasons
    finally:
        listener.close()
        await server.shutdown(0.1)


async def send_slowly(port: int, data: bytes, steps: int) -> bytes:
    """Send the begin of a body, and more of it in steps; read the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(POST)
    with contextlib.closing(writer), contextlib.suppress(ConnectionError):
        for _ in range(steps):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(STEP_SECONDS)
        return await asyncio.wait_for(reader.read(12), 0.5)
    return b""


@pytest.mark.parametrize(
    "is_scarce, step_bytes, is_closed",
    ((True, 1, True), (True, 2_000, False), (False, 1, False)),
    ids=("byte-by-byte", "slow", "room"),
)
def test_bodies_that_hardly_go_on_are_closed_while_memory_is_scarce(
    is_scarce, step_bytes, is_closed
):
    # A few of them kept all others out for a minute.
    async def work():
        async with run_server(ClientStage.BODY, is_scarce) as (port, reasons):
            steps = round(STALL_SECONDS / STEP_SECONDS)
            with contextlib.suppress(TimeoutError):
                await send_slowly(port, b"x" * step_bytes, steps)
            assert reasons == is_closed * ["slow_body"]

    uvloop.run(work())


@pytest.mark.parametrize(
    "is_scarce, step_bytes, is_closed",
    ((True, 0, True), (True, 64 << 10, False), (False, 0, False)),
    ids=("reads-nothing", "reads-slowly", "room"),
)
def test_unread_answers_are_closed_while_memory_is_scarce(
    is_scarce, step_bytes, is_closed
):
    # Those that read nothing took what others' answers need.
    async def work():
        async with run_server(ClientStage.ANSWER, is_scarce) as (
            port,
            reasons,
        ):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=1
            )
            writer.write(GET)
            got = 0
            for _ in range(round(STALL_SECONDS / STEP_SECONDS)):
                if step_bytes and got < len(LARGE):
                    got += len(await reader.read(step_bytes))
                await asyncio.sleep(STEP_SECONDS)
            assert bool(reasons) == is_closed
            writer.close()

    uvloop.run(work())


@pytest.mark.parametrize(
    "unsent_bytes, is_closed", ((0, True), (1 << 30, False))
)
def test_unread_stream_is_closed_for_its_own_memory_only(
    unsent_bytes, is_closed
):
    # It holds nothing of what whole answers wait for.
    async def work():
        async with run_server(ClientStage.ANSWER, True, unsent_bytes) as (
            port,
            reasons,
        ):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=1
            )
            writer.write(GET.replace(b"/", b"/stream", 1))
            await asyncio.sleep(STALL_SECONDS)
            assert bool(reasons) == is_closed
            writer.close()

    uvloop.run(work())
