"""What an engine, or what stands before it, sends where events are due."""

import asyncio

from aiohttp import web
import pytest

import chivepier.node.tests.fakeengine as fake
from chivepier.node.tests.test_relay import Bench
from chivepier.node.tests.test_relay import GENERATION
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

LENGTH = 6
HAD = 3
EVENTS = [
    b"id: h.%d\n" % n + fake.render(GENERATION, n).partition(b"\n")[2]
    for n in range(LENGTH)
]
SERIES = b"".join(EVENTS) + b"data: [DONE]\n\n"
BEGUN = b'data: {"id":"%b","choices":[{"te' % GENERATION.encode()
CUT = b"id: %d\n" % HAD + BEGUN
LF_HEAD = b"HTTP/1.1 500 Trouble\nContent-Length: 3\n\nbad"
CRLF_HEAD = LF_HEAD.replace(b"\n", b"\r\n")
# what stands where the next event is due
PIECES = {
    "empty": b"",
    "head": LF_HEAD,
    "crlf-head": CRLF_HEAD,
    "text": b"upstream trouble",
    "text-line": b"upstream trouble\n\n",
    "json": b'{"error": "trouble"}\n\n',
    "page": b"<html>\n\n<p>trouble</p>\n\n</html>\n",
    "error-event": b"event: error\ndata: trouble\n\n",
    "coded": b"\x1f\x8b\x08\n\nxx",
    "next-and-text": b"id: %d\ndata: trouble\n\n" % HAD,
    "cut-head": CUT + LF_HEAD,
    "cut-crlf-head": CUT + CRLF_HEAD + b"\n\n",
    "cut-line-head": CUT + b"\n" + LF_HEAD,
    "cut-text": CUT + b"upstream trouble\n\n",
    "cut-json": CUT + b'{"error": "trouble"}\n\n',
    "cut-json-line": CUT + b'\n{"error": "trouble"}\n\n',
    "cut-page": CUT + b"<html>\n\n",
    "cut-event": CUT + b'\nevent: error\ndata: {"error": "trouble"}\n\n',
    "cut-next": CUT + fake.render(GENERATION, HAD + 1),
    "whole-and-head": fake.render(GENERATION, HAD)[:-1] + LF_HEAD,
    "whole-and-text": fake.render(GENERATION, HAD)[:-1] + b"trouble\n\n",
}


def send_piece(piece: bytes, status: int = 200, named: bool = True):
    """Return a reader that sends a piece under a head, and ends in order."""

    async def play(reader):
        response = web.StreamResponse(status=status)
        if named:
            response.headers[fake.GENERATION] = reader.generation
        await response.prepare(reader._request)
        await response.write(piece)
        return response

    return play


def send_piece_after_events(piece: bytes):
    """Return a reader that has the piece in its own stream."""

    async def play(reader):
        response = await reader.open()
        await reader.send(reader.start, HAD)
        await response.write(piece)
        return response

    return play


async def relay(*scripts) -> tuple[bytes, RequestError | None]:
    """Return what is delivered, and the error that ends it."""
    async with Bench(*scripts, length=LENGTH) as bench:
        try:
            await bench.run()
        except RequestError as error:
            return bench.delivered, error
        return bench.delivered, None


@pytest.mark.parametrize("piece", PIECES.values(), ids=PIECES)
def test_error_at_a_second_reader_never_becomes_a_part_of_a_stream(piece):
    # An error's text ended the event on which a stream had broken off.
    cut, error = fake.cut_at(HAD), send_piece(piece)
    delivered, failed = asyncio.run(relay(cut, error, fake.whole))
    assert (delivered, failed) == (SERIES, None)


@pytest.mark.parametrize("piece", PIECES.values(), ids=PIECES)
def test_error_in_its_own_stream_never_becomes_a_part_of_it(piece):
    # An error's text, or its whole head, ended an event of the stream.
    error = send_piece_after_events(piece)
    delivered, failed = asyncio.run(relay(error, fake.whole))
    assert (delivered, failed) == (SERIES, None)


@pytest.mark.parametrize("piece", PIECES.values(), ids=PIECES)
def test_errors_alone_end_a_stream_as_lost(piece):
    # It was told as whole.
    cut, error = fake.cut_at(HAD), send_piece(piece)
    delivered, failed = asyncio.run(relay(cut, error))
    assert delivered == b"".join(EVENTS[:HAD])
    assert failed.failure.kind is ErrorKind.GENERATION_LOST
    assert failed.failure.ran is Ran.YES


@pytest.mark.parametrize("status", (201, 202, 206, 302, 404, 429, 500, 503))
@pytest.mark.parametrize("named", (False, True))
@pytest.mark.parametrize("is_series", (False, True))
def test_another_status_never_becomes_a_part_of_a_stream(
    status, named, is_series
):
    # Its body may look like what is due.
    events = [fake.render(GENERATION, n) for n in range(HAD, LENGTH)]
    piece = b"".join(events) if is_series else b"trouble"
    error = send_piece(piece, status, named)
    delivered, failed = asyncio.run(relay(fake.cut_at(HAD), error))
    assert delivered == b"".join(EVENTS[:HAD])
    assert failed.failure.kind is ErrorKind.GENERATION_LOST


def test_answer_that_names_no_generation_is_no_part_of_a_stream():
    events = [fake.render(GENERATION, n) for n in range(HAD, LENGTH)]
    error = send_piece(b"".join(events), named=False)
    delivered, failed = asyncio.run(relay(fake.cut_at(HAD), error))
    assert delivered == b"".join(EVENTS[:HAD])
    assert failed.failure.kind is ErrorKind.GENERATION_LOST
