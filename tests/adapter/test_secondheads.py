"""Tests of errors that are raised after the head of an answer was sent."""

import asyncio

import pytest

from chivepier.types import ErrorKind
from chivepier.types import RequestError
from entryfixture import build_request
from entryfixture import run

EVENT = b"id: 1\ndata: one\n\n"
HEADERS = (("Content-Type", "text/event-stream"),)
ERRORS = {
    "of-ours": RequestError.of(ErrorKind.TARGET_FAILED, "trouble"),
    "timeout": TimeoutError(),
    "connection": ConnectionResetError(),
    "unforeseen": RuntimeError("trouble"),
}


def begin_then_raise(fixture, error, length, parts) -> None:
    """Have requests fail after the head and some parts of their answer."""

    async def serve(request, caller):
        await caller.begin(200, HEADERS, length)
        for part in parts:
            await caller.write(part)
        raise error

    fixture.entry.serving.serve = serve


async def read_to_end(fixture, data: bytes) -> bytes:
    """Return all bytes that a caller gets until its connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
    writer.write(data)
    received = b""
    try:
        while part := await reader.read(1 << 16):
            received += part
    except ConnectionResetError:
        pass
    finally:
        writer.close()
    return received


@pytest.mark.parametrize("length", (None, 200), ids=("chunks", "length"))
@pytest.mark.parametrize("count", (0, 1, 2))
@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS)
def test_error_after_a_head_is_no_second_answer(error, count, length):
    # The head and body of an error stood in the stream that had begun.
    async def test(fixture):
        begin_then_raise(fixture, error, length, count * [EVENT])
        received = await read_to_end(fixture, build_request("/stream/x"))
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.count(b"HTTP/1.1") == head.count(b"HTTP/1.1 200")
        part = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
        expected = count * (EVENT if length else part)
        # what was not written yet is lost with the connection
        assert expected.startswith(body)

    run(None, test)


@pytest.mark.parametrize("count", (0, 1, 2))
@pytest.mark.parametrize("lengths", ((None, None), (200, 5), (200, None)))
def test_answer_has_one_head(lengths, count):
    # A second head and its body would stand in the first answer's body.
    async def serve(request, caller):
        first, second = lengths
        await caller.begin(200, HEADERS, first)
        for _ in range(count):
            await caller.write(EVENT)
        await caller.begin(500, HEADERS, second)
        await caller.write(b"other")
        await caller.finish(True)

    async def test(fixture):
        fixture.entry.serving.serve = serve
        received = await read_to_end(fixture, build_request("/stream/x"))
        assert b"other" not in received
        assert received.count(b"HTTP/1.1 ") == received.count(b"HTTP/1.1 200")

    run(None, test)


def test_answer_that_an_error_breaks_off_is_logged():
    async def test(fixture):
        lines = []
        fixture.entry.log.warn = lambda name, **values: lines.append(
            (name, values)
        )
        begin_then_raise(fixture, ERRORS["of-ours"], None, [EVENT])
        await read_to_end(fixture, build_request("/stream/x"))
        values = {"id": "r1", "kind": "target_failed", "reason": "trouble"}
        assert lines == [("answer_broken_off", values)]

    run(None, test)
