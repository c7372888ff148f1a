"""Tests of the question which process answers at a target's address."""

import asyncio
import contextlib
import itertools

import pytest

from adapter.httptargetclient import HttpTargetClient
from chivepier.gateway.serving import Identity
from chivepier.standins.playedloop import play_time
from exchange import build_answer
from exchange import OPTIONS
from exchange import read_all
from exchange import RecordingExchange
from exchange import send
import rawtarget

PATH = rawtarget.HEALTH_PATH
OWN_NAME = b"X-Chivepier-Instance-Id: i1\r\n"
OTHER_NAME = b"X-Chivepier-Instance-Id: i2\r\n"
NOT_RUN = b"X-Chivepier-Not-Run: 1\r\n"
ANSWERS = {
    "healthy": (b"200 OK", OWN_NAME, Identity.SAME),
    "unhealthy": (b"503 Draining", OWN_NAME, Identity.SAME),
    "full": (b"503 Full", NOT_RUN, Identity.SAME),
    "limited": (b"429 Too Many Requests", NOT_RUN, Identity.SAME),
    "without-id": (b"400 Bad Request", NOT_RUN, Identity.UNKNOWN),
    "other": (b"200 OK", OTHER_NAME, Identity.OTHER),
    "both": (b"200 OK", OWN_NAME + OTHER_NAME, Identity.OTHER),
    "wrong": (b"421 Misdirected", b"", Identity.OTHER),
    "wrong-not-run": (b"421 Misdirected", NOT_RUN, Identity.OTHER),
    "nameless": (b"200 OK", b"", Identity.UNKNOWN),
    "no-target": (b"404 Not Found", b"", Identity.UNKNOWN),
    "error": (b"500 Error", b"", Identity.UNKNOWN),
}
ITSELF = build_answer(b"", b"", OWN_NAME)
# Seconds after which the time of an attempt to ask is over.
LATE_SECONDS = 0.6
# What a connection brings for the question, and what that tells; ``None``
# if it tells nothing, so that the question is asked again.
REPLIES = {
    "itself": Identity.SAME,
    "another": Identity.OTHER,
    "closed": None,
    "reset": None,
    "hangs": None,
    "late": None,
    "wrong-id": None,
    "no-status": None,
}


@contextlib.asynccontextmanager
async def serve(answer):
    """Run a server that handles each connection with a function."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    raw = rawtarget.RawTarget(None)
    raw.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    async with HttpTargetClient() as targets, asyncio.timeout(10):
        try:
            yield targets, raw.make_target(), server
        finally:
            server.close()


def ask(targets, target):
    """Ask which process answers, without restrictions."""
    return targets.identify(target, PATH, RecordingExchange())


@pytest.mark.parametrize(
    "status, names, identity", ANSWERS.values(), ids=ANSWERS
)
def test_answer_tells_which_process_gave_it(status, names, identity):
    # Another process at the address was taken for the one that was killed.
    heads = []

    async def answer(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(build_answer(b"", b"", names, status))

    async def test():
        async with serve(answer) as (targets, target, _):
            assert await ask(targets, target) is identity
        (head,) = heads
        assert head.startswith(b"GET /health HTTP/1.1\r\n")
        assert b"X-Chivepier-Expect-Instance: i1\r\n" in head

    asyncio.run(test())


@pytest.mark.parametrize("names", (OWN_NAME, NOT_RUN))
def test_answer_to_another_request_vouches_for_nobody(names):
    # One that a target sent twice before it was killed comes where the answer
    # to the question is due.
    connections = []

    async def answer(reader, writer):
        connections.append(await reader.readuntil(b"\r\n\r\n"))
        late = b"X-Chivepier-Request-Id: r1\r\n" + names
        found = OTHER_NAME if len(connections) > 1 else late
        writer.write(build_answer(b"", b"", found, b"503 Full"))

    async def test():
        async with serve(answer) as (targets, target, _):
            assert await ask(targets, target) is Identity.OTHER
        assert len(connections) == 2

    asyncio.run(test())


def test_address_without_a_listener_has_nobody():
    async def test():
        async with serve(None) as (targets, target, server):
            server.close()
            assert await ask(targets, target) is Identity.NOBODY

    asyncio.run(test())


def test_process_that_is_ending_is_asked_again():
    # An ending process may still accept a connection, and then close it.
    async def test():
        async def end(reader, writer):
            server.close()
            writer.transport.abort()

        async with serve(end) as (targets, target, server):
            assert await ask(targets, target) is Identity.NOBODY

    asyncio.run(test())


@pytest.mark.parametrize("data", (b"", b"no answer\r\n\r\n", b"HTTP/1.1 200"))
def test_silence_and_nonsense_tell_nothing(data):
    # A kernel accepts connections for a process that does not run.
    async def answer(reader, writer):
        await reader.read(1)
        writer.write(data)
        await asyncio.sleep(5)

    async def test():
        async with serve(answer) as (targets, target, _):
            assert await ask(targets, target) is Identity.UNKNOWN

    asyncio.run(test())


def test_connection_that_stays_open_vouches_for_nobody():
    # A connection that was not heard to have ended yet counted as life.
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        if len(connections) > 1:
            writer.close()
            return
        await reader.readuntil(b"\r\n\r\n")
        writer.write(build_answer(b"ok"))
        await reader.read()

    async def test():
        async with serve(answer) as (targets, target, _):
            request = rawtarget.make_request()
            await read_all(await send(targets, target, request, OPTIONS))
            assert await ask(targets, target) is Identity.UNKNOWN

    asyncio.run(test())


async def reply_with(reply: str, writer: asyncio.StreamWriter) -> None:
    """Answer a question, or end its connection, in a named way."""
    match reply:
        case "itself":
            writer.write(ITSELF)
        case "another":
            writer.write(build_answer(b"", b"", OTHER_NAME))
        case "closed":
            writer.close()
        case "reset":
            rawtarget.reset(writer)
        case "late":
            await asyncio.sleep(LATE_SECONDS)
            writer.write(ITSELF)
        case "wrong-id":
            writer.write(build_answer(b"", b"r1", OWN_NAME))
        case "no-status":
            writer.write(build_answer(b"", b"", OWN_NAME, b"000 OK"))


@pytest.mark.parametrize(
    "replies", tuple(itertools.product(REPLIES, repeat=2)), ids="-".join
)
def test_question_is_asked_again_where_a_connection_tells_nothing(replies):
    # A late answer, one to another request or none at all is nobody's word;
    # the model of ends takes these findings for granted.
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        await reply_with(replies[len(connections) - 1], writer)

    async def test():
        async with serve(answer) as (targets, target, _):
            found = await ask(targets, target)
            # what is still on its way must find nobody who counts it
            await asyncio.sleep(LATE_SECONDS)
            return found

    told = [REPLIES[reply] for reply in replies]
    known = [identity for identity in told if identity is not None]
    assert play_time(test()) is (known[0] if known else Identity.UNKNOWN)
    assert len(connections) == (1 if told[0] is not None else 2)
