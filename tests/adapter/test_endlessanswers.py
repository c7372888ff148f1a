"""Tests of answers that go on until their reader closes the connection."""

import asyncio
import socket
import threading
import time
import tracemalloc

import pytest
import uvloop

from adapter.httptargetclient import HttpTargetClient
from adapter.targetconnection import MAX_HEAD_SECONDS
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import NotSentError
from endlessscript import EndlessScript
from entryfixture import build_request
from entryfixture import read_status
from entryfixture import ROUTES
from entryfixture import run
from exchange import drop
from exchange import find_id
from exchange import move
from exchange import OPTIONS
from exchange import read_all
from exchange import reserve
from exchange import send
import rawtarget
from soak.endless import CHUNKED
from soak.endless import ENDLESS
from soak.endless import ENDLESS_STREAMS
from soak.endless import HEAD
from soak.endless import make_chunk
from soak.endless import NEEDLESS
from soak.endless import WHOLE

# Bytes that may be sent before the connection is closed: a large answer, and
# what the sockets hold.
MAX_SENT = 24 << 20
# Far beyond what ending such an answer takes, and far below the deadline, at
# which its caller would get another status.
MAX_SECONDS = 10.0
DEADLINE_MS = 60_000
# Memory that one answer of a few bytes may take, with all that belongs to it.
MAX_TAKEN = 3 << 20


KINDS = [
    *((kind, path) for kind in ENDLESS for path in ("/once/x", "/stream/x")),
    *((kind, "/stream/x") for kind in ENDLESS_STREAMS),
]


@pytest.mark.parametrize("kind,path", KINDS)
def test_endless_answer_is_ended_soon_and_told_honestly(kind, path):
    # An entry read until its memory was full, or did nothing else any more.
    script = EndlessScript(kind)

    async def test(fixture):
        allow_time(fixture)
        async with asyncio.timeout(MAX_SECONDS):
            answer = await fixture.send(build_request(path))
            await script.closed.wait()
        assert read_status(answer) == 502
        assert b"X-Chivepier-Server-Stamp" not in answer
        assert script.sent < MAX_SENT
        assert fixture.entry.answers.used_bytes == 0

    run(script, test)


def allow_time(fixture) -> None:
    """Let the routes wait for long, so that no deadline ends an answer."""
    routes = [{**route, "timeout-ms": DEADLINE_MS} for route in ROUTES]
    fixture.configure(version=8, routes=routes)


def test_head_that_drips_is_ended():
    # Too few bytes to be counted, but they kept a caller until its deadline.
    async def script(head, writer):
        writer.write(HEAD)
        while not writer.is_closing():
            writer.write(b"X-A: b\r\n")
            await asyncio.sleep(0.05)

    async def test(fixture):
        allow_time(fixture)
        began = time.monotonic()
        answer = await fixture.send(build_request("/stream/x"))
        assert read_status(answer) == 502
        assert time.monotonic() - began < MAX_HEAD_SECONDS + MAX_SECONDS

    run(script, test)


def test_head_that_arrived_while_the_process_stood_still_is_whole():
    # Guards against counting the time in which nothing was read.
    with socket.create_server(("127.0.0.1", 0)) as server:
        thread = threading.Thread(target=answer_in_two_parts, args=(server,))
        thread.start()
        raw = rawtarget.RawTarget(None)
        raw.address = "127.0.0.1:%d" % server.getsockname()[1]

        async def work():
            async with HttpTargetClient() as targets:
                request = rawtarget.make_request()
                answer = asyncio.create_task(
                    send(targets, raw.make_target(), request, OPTIONS)
                )
                loop = asyncio.get_running_loop()
                loop.call_later(0.2, time.sleep, MAX_HEAD_SECONDS + 0.2)
                assert await read_all(await answer) == b"ok"

        uvloop.run(work())
        thread.join()


def answer_in_two_parts(server: socket.socket) -> None:
    """Answer one request; the second part comes a moment after the first."""
    connection, _ = server.accept()
    with connection:
        connection.recv(1 << 16)
        connection.sendall(HEAD)
        time.sleep(0.6)
        connection.sendall(b"Content-Length: 2\r\n\r\nok")
        connection.recv(1)


@pytest.mark.parametrize("kind", ENDLESS)
def test_endless_answer_to_a_control_call_is_ended_soon(kind):
    # A call of some milliseconds took memory until its timeout.
    async def work():
        for call in ("reserve", "move", "drop"):
            script = EndlessScript(kind, named=False)
            async with (
                rawtarget.RawTarget(script) as raw,
                HttpTargetClient() as targets,
            ):
                async with asyncio.timeout(MAX_SECONDS):
                    await check_call(call, targets, raw.make_target())
                    await script.closed.wait()
            assert script.sent < MAX_SENT

    asyncio.run(work())


def test_backlog_of_a_stream_is_no_endless_answer():
    # Guards against ending a stream whose events wait for their reader.
    event = b"id: 1\ndata: %s\n\n" % (b"x" * 100)
    backlog = 20_000 * make_chunk(event) + b"0\r\n\r\n"

    async def script(head, writer):
        writer.write(CHUNKED + backlog)
        await writer.drain()

    async def work():
        async with (
            rawtarget.RawTarget(script) as raw,
            HttpTargetClient() as targets,
        ):
            request = rawtarget.make_request()
            reply = await send(targets, raw.make_target(), request, OPTIONS)
            await asyncio.sleep(0.2)
            assert await read_all(reply) == 20_000 * event

    asyncio.run(work())


async def check_call(call: str, targets: HttpTargetClient, target) -> None:
    """Make a control call, which must fail."""
    match call:
        case "reserve":
            with pytest.raises(NotSentError):
                await reserve(targets, target, 100, 1.0)
        case "move":
            work = move(targets, target, "r1", target, True, 5.0)
            assert (await work).outcome is MoveOutcome.FAILED
        case "drop":
            assert not await drop(targets, target, "h1")


@pytest.mark.parametrize("kind", NEEDLESS)
def test_answers_that_nobody_asked_for_take_no_memory(kind):
    # All that had arrived after a whole answer was parsed and kept.
    first, more = NEEDLESS[kind]

    async def script(head, writer):
        writer.write(first + 500 * more)

    async def work():
        async with (
            rawtarget.RawTarget(script) as raw,
            HttpTargetClient() as targets,
        ):
            request = rawtarget.make_request()
            reply = await send(targets, raw.make_target(), request, OPTIONS)
            assert await read_all(reply) == b"ok"

    tracemalloc.start()
    try:
        uvloop.run(work())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_TAKEN


def test_connection_with_a_part_of_an_answer_to_nothing_is_given_up():
    # The next call got that part and its own answer as one, and failed.
    parted = asyncio.Event()

    async def script(head, writer):
        writer.write(WHOLE.replace(b"r1", find_id(head)))
        if not parted.is_set():
            await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 2")
            await writer.drain()
            parted.set()

    async def work():
        async with (
            rawtarget.RawTarget(script) as raw,
            HttpTargetClient() as targets,
        ):
            for identity in ("r1", "r2"):
                request = rawtarget.make_request(identity)
                target = raw.make_target()
                reply = await send(targets, target, request, OPTIONS)
                assert await read_all(reply) == b"ok"
                await parted.wait()
                await asyncio.sleep(0.05)
            assert raw.connections == 2

    asyncio.run(work())


@pytest.mark.parametrize(
    "data,kind",
    [
        (WHOLE + WHOLE, "after"),
        (200 * b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20, "framing"),
        (HEAD.replace(b"200", b"101") + b"\r\n", "form"),
        (HEAD + 200 * b"X-A: b\r\n" + b"\r\n", "form"),
    ],
)
def test_connection_that_is_ended_for_its_bytes_is_counted(data, kind):
    # Nothing told that a target sent what was no answer.
    async def script(head, writer):
        writer.write(data)

    async def test(fixture):
        await fixture.send(build_request("/once/x"))
        metrics = fixture.entry.metrics.render().decode()
        assert f'chivepier_target_excess_total{{kind="{kind}"}} 1.0' in metrics

    run(script, test)


def test_large_answer_is_whole_whose_target_closes_after_it():
    # Guards against losing what waits to be parsed when a connection ends.
    body = bytes(range(256)) * 8_000

    async def script(head, writer):
        writer.write(HEAD + b"Connection: close\r\n\r\n" + body)
        await writer.drain()
        writer.close()

    async def work():
        async with (
            rawtarget.RawTarget(script) as raw,
            HttpTargetClient() as targets,
        ):
            request = rawtarget.make_request()
            reply = await send(targets, raw.make_target(), request, OPTIONS)
            await asyncio.sleep(0.1)
            assert await read_all(reply) == body

    for run_loop in (asyncio.run, uvloop.run):
        run_loop(work())
