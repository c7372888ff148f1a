"""Tests of clients at the edge of the limits, and beyond it."""

import asyncio

from aiohttp import web
import pytest
import uvloop

from adapter.clientbounds import ClientBounds
from adapter.clientwatch import ClientWatch
from adapter.limitedserver import LimitedServer
from chivepier.gateway.config import Limits
from entryfixture import build_request
from entryfixture import read_status
from entryfixture import run
from exchange import build_reply

LIMIT = 2000
KEPT = build_request("/once/x").replace(b"Connection: close\r\n", b"")
LAST = build_request("/once/x")
BOUNDS = ClientBounds(
    connections=2,
    held_bytes=1000,
    request_bytes=1 << 20,
    unsent_bytes=1 << 20,
    target_connections=9,
)


async def answer(head, writer):
    """Answer any request with 200."""
    writer.write(build_reply(head, b"ok"))


def configure(fixture, **limits) -> None:
    """Apply limits."""
    version = fixture.entry.state.index.version + 1
    fixture.configure(version=version, limits=limits)


def pad(request: bytes, size: int) -> bytes:
    """Fill the head of a request up to a size."""
    begin, _, body = request.partition(b"\r\n\r\n")
    filler = b"\r\nX-Filler: "
    count = size - len(begin) - len(filler) - 4
    return begin + filler + b"x" * count + b"\r\n\r\n" + body


@pytest.mark.parametrize("beyond, status", ((0, 200), (1, 431)))
@pytest.mark.parametrize("empty_lines", (0, 50))
def test_limit_is_that_of_the_whole_head(empty_lines, beyond, status):
    # Each line was bounded, and the head was not.
    async def test(fixture):
        configure(fixture, **{"max-header-bytes": LIMIT})
        empty = b"\r\n" * empty_lines
        head = pad(LAST, LIMIT + beyond - len(empty))
        assert read_status(await fixture.send(empty + head)) == status
        assert len(fixture.raw.requests) == (status == 200)

    run(answer, test)


@pytest.mark.parametrize(
    "refused",
    (
        b"NO REQUEST\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\n\n",
        LAST.replace(b"Content-Length: 0", b"Content-Length: +0"),
        pad(LAST, 20_000),
    ),
    ids=("no-request", "line-feeds", "length", "size"),
)
def test_nothing_after_a_refused_head_is_a_request(refused):
    # What follows it may be a part of it for another reader.
    async def test(fixture):
        data = await fixture.send(refused + LAST)
        assert read_status(data) in (400, 431)
        assert data.count(b"HTTP/1.1 ") == 1
        assert fixture.raw.requests == []

    run(answer, test)


@pytest.mark.parametrize("body", (b"x\r\n", b"1\r\nxy\r\n", b"1" * 20_000))
@pytest.mark.parametrize("apart", (False, True))
def test_body_that_is_none_is_refused_and_nothing_runs(apart, body):
    # What is refused after the head of a request must not reach a target.
    begin = KEPT.replace(
        b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
    )

    async def test(fixture):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(begin)
        if apart:
            await asyncio.sleep(0.05)
        writer.write(body + LAST)
        line = await reader.readline()
        assert line.startswith(b"HTTP/1.1 400")
        assert fixture.raw.requests == []
        writer.close()

    run(answer, test)


@pytest.mark.parametrize(
    "first",
    (
        KEPT,
        KEPT.replace(
            b"\r\n\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: tcp\r\n\r\n"
        ),
        KEPT.replace(
            b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
        )
        + b"2;a=b\r\nab\r\n0\r\nA: b\r\n\r\n",
    ),
    ids=("plain", "upgrade", "chunks"),
)
def test_requests_that_come_at_once_are_answered_in_turn(first):
    # One is handled at a time, and none is lost that came meanwhile.
    async def test(fixture):
        data = await fixture.send(3 * first + LAST)
        assert data.count(b"HTTP/1.1 200") == 4
        assert len(fixture.raw.requests) == 4

    run(answer, test)


@pytest.mark.parametrize(
    "sent, told", ((b"", b""), (b"GET", b"408"), (b"\r\n", b"408"))
)
def test_new_time_limit_holds_for_connections_that_stand(sent, told):
    # The time of a head was read from the configuration, and used nowhere.
    async def test(fixture):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(sent)
        await asyncio.sleep(0.1)
        configure(fixture, **{"header-timeout-ms": 100})
        data = await reader.read()
        assert data.split(b" ")[1:2] == ([told] if told else [])
        writer.close()

    run(answer, test)


def test_head_that_drips_is_refused_after_its_time():
    # Each byte would have begun the time anew.
    async def test(fixture):
        configure(fixture, **{"header-timeout-ms": 500})
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        reading = asyncio.create_task(reader.read())
        while not reading.done():
            writer.write(b"x")
            await asyncio.sleep(0.02)
        assert read_status(await reading) == 408
        writer.close()

    run(answer, test)


def test_newcomer_takes_the_place_of_a_client_that_brings_nothing():
    # All places were taken, and each ordinary caller was turned away.
    async def serve(request):
        return web.Response()

    async def work():
        watch = ClientWatch(BOUNDS)
        server = LimitedServer(serve, Limits, watch)
        listener = await server.listen("127.0.0.1:0", 10)
        address = listener.sockets[0].getsockname()
        silent = [await asyncio.open_connection(*address) for _ in range(2)]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionError):
            # a reset or a close, as the kernel has it
            if await silent[0][0].read() == b"":
                raise ConnectionError
        assert watch.connections == 2
        for _, other in (*silent, (reader, writer)):
            other.close()
        listener.close()
        await server.shutdown(0.1)

    uvloop.run(work())


def test_held_bytes_of_all_clients_are_bounded():
    # Each stays inside its limit, and all of them together end the process.
    async def work():
        watch = ClientWatch(BOUNDS)
        server = LimitedServer(None, Limits, watch)
        listener = await server.listen("127.0.0.1:0", 10)
        address = listener.sockets[0].getsockname()
        _, first = await asyncio.open_connection(*address)
        _, second = await asyncio.open_connection(*address)
        first.write(b"A" * 700)
        second.write(b"A" * 600)
        while watch.connections > 1:
            await asyncio.sleep(0.01)
        assert watch.held_bytes <= BOUNDS.held_bytes
        first.close()
        second.close()
        while watch.connections:
            await asyncio.sleep(0.01)
        assert watch.held_bytes == 0
        listener.close()
        await server.shutdown(0.1)

    uvloop.run(work())
