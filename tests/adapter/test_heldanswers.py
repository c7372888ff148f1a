"""Tests of answers that wait for their turn to be parsed."""

import asyncio

import pytest

from adapter.parseturns import ParseTurns
from adapter.targetconnection import MAX_HEAD_SECONDS
from adapter.targetconnection import PROMPT_BYTES
from adapter.targetconnection import TargetConnection
from chivepier.gateway.serving import SendOptions
from exchange import build_answer
from exchange import build_reply
from exchange import find_id
from exchange import read_all
from exchange import run
from exchange import send
from rawtarget import make_request

OPTIONS = SendOptions(seconds=8.0)
BODY = bytes(range(256)) * 400


class FakeTransport(asyncio.Transport):
    """Takes what is written, and is told to pause and resume."""

    def pause_reading(self) -> None:
        """Read nothing more."""

    def resume_reading(self) -> None:
        """Read again."""

    def is_closing(self) -> bool:
        """Tell that it is open."""
        return False

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


def open_connection() -> TargetConnection:
    """Return a connection over which a call was sent."""
    loop = asyncio.get_running_loop()
    connection = TargetConnection(loop, ParseTurns(loop), set())
    connection.connection_made(FakeTransport())
    connection.set_response_params()
    connection.note_sent("r1", lambda kind: None)
    return connection


@pytest.mark.parametrize("prompt", (PROMPT_BYTES, 1 << 30))
def test_answer_that_arrived_whole_stands_as_its_connection_is_reset(
    prompt, monkeypatch
):
    # Guards against losing a whole answer to a request that was not all read.
    monkeypatch.setattr("adapter.targetconnection.PROMPT_BYTES", prompt)

    async def work():
        connection = open_connection()
        connection.data_received(build_answer(BODY))
        message, payload = await connection.read()
        # a write of the request's body has failed in the same round
        connection.connection_lost(ConnectionResetError())
        assert await payload.read() == BODY

    asyncio.run(work())


def test_failing_piece_keeps_no_other_connection_from_its_turn():
    # Guards against one error after which no long answer is parsed any more.
    async def work():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        turns, parsed = ParseTurns(loop), asyncio.Event()

        def fail() -> int:
            raise ValueError("as the library might")

        def parse() -> int:
            parsed.set()
            return 1

        turns.add(fail)
        turns.add(parse)
        async with asyncio.timeout(1.0):
            await parsed.wait()

    asyncio.run(work())


def test_target_that_works_for_long_after_an_interim_answer_is_awaited():
    # Guards against taking the time that a target works for that of a head.
    async def script(head, writer):
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        await asyncio.sleep(MAX_HEAD_SECONDS + 0.5)
        writer.write(build_reply(head, b"ok"))

    async def test(raw, targets):
        answer = await send(
            targets, raw.make_target(), make_request(), OPTIONS
        )
        assert await read_all(answer) == b"ok"

    run(script, test)


@pytest.mark.parametrize("method", ("GET", "HEAD"))
@pytest.mark.parametrize(
    "status", (b"200 OK", b"204 No Content", b"304 Not Modified")
)
def test_connection_is_used_again_after_an_answer_without_a_body(
    method, status
):
    # Guards against taking the next answer for one to nothing.
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 %s\r\nX-Chivepier-Request-Id: %s\r\n"
            b"Content-Length: 0\r\n\r\n" % (status, find_id(head))
        )

    async def test(raw, targets):
        for identity in ("r1", "r2", "r3"):
            request = make_request(identity, method)
            answer = await send(targets, raw.make_target(), request, OPTIONS)
            assert await read_all(answer) == b""
        assert raw.connections == 1

    run(script, test)


@pytest.mark.parametrize("size", (8 << 10, 100 << 10, 3 << 20))
def test_early_answer_to_a_body_that_nobody_reads_is_whole(size):
    # Guards against losing an answer as the rest of its request can't be sent.
    body = bytes(size)

    async def script(head, writer):
        reply = build_reply(head, body, b"Connection: close\r\n")
        writer.write(reply)
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.close()

    async def test(raw, targets):
        request = make_request("r1", "POST", bytes(8 << 20))
        answer = await send(targets, raw.make_target(), request, OPTIONS)
        parts = []
        while part := await answer.read():
            parts.append(part)
            await asyncio.sleep(0.001)
        answer.release()
        assert b"".join(parts) == body

    run(script, test)
