"""Tests of answers whose first line is none of HTTP/1, at sockets."""

import asyncio
import itertools

from aiohttp.http_parser import HttpResponseParserPy
import pytest
from test_streamends import call
from test_streamends import EVENTS
from test_streamends import RESUMABLE
from test_streamends import run

from adapter.startlines import StartLines
from entryfixture import IDEMPOTENT_ROUTE
from entryfixture import ROUTES

BODY = b"".join(EVENTS)
FIELDS = (
    b"X-Chivepier-Request-Id: r1\r\nX-Chivepier-Server-Stamp: s1\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
SOUND = b"HTTP/1.1 200 OK\r\n" + FIELDS
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
# First lines that make no answer of HTTP/1 (RFC 9112, 4; RFC 9110, 15).
NO_ANSWERS = (
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 020 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "RTSP/1.0 200 OK",
    "ICE/1.0 200 OK",
    "HTTP 200 OK",
    "200 OK",
)
ANSWERS = (
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200",
    "HTTP/1.1 200 ",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 299 Odd",
)
PATHS = ("/once/x", "/again/x", "/stream/x", "/resume/x")
REPEATABLE_PATHS = ("/again/x", "/resume/x")


def answer_with(*heads: bytes, piece: int = 1 << 16):
    """Return a script that gives one head after the other, then the last."""
    left = itertools.chain(heads, itertools.repeat(heads[-1]))

    async def script(_, writer):
        data = next(left) + BODY
        for start in range(0, len(data), piece):
            writer.write(data[start : start + piece])
            await asyncio.sleep(0)
        await writer.drain()

    return script


def make_head(line: str) -> bytes:
    """Return a head with a first line."""
    return line.encode() + b"\r\n" + FIELDS


async def check_failed(fixture, path: str, request_id: str = "r1") -> None:
    """Check that a caller is told that its request may have run."""
    head, body, _ = await call(fixture, path, request_id)
    assert head.startswith(b"HTTP/1.1 502 ")
    assert b"X-Chivepier-Server-Stamp" not in head
    assert BODY not in body


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("line", NO_ANSWERS)
def test_what_is_no_answer_is_never_handed_on(line, path):
    # Status 000 reached callers as an answer, also as a success.
    async def test(fixture):
        await check_failed(fixture, path)
        await check_failed(fixture, path, "r2")
        # a connection that has carried it is not used again
        assert fixture.raw.connections >= len(fixture.raw.requests)

    script = answer_with(make_head(line))
    run(test, script, script)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("line", NO_ANSWERS[:1] + NO_ANSWERS[-5:-2])
def test_what_is_no_answer_after_an_interim_one_is_not_handed_on(line, path):
    # The next head of an answer is judged as the first one is.
    async def test(fixture):
        await check_failed(fixture, path)

    script = answer_with(INTERIM + make_head(line))
    run(test, script, script)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("count", (1, 3))
def test_interim_answer_that_is_the_last_is_no_answer(count, path):
    # What says that the target works on is no outcome of the request.
    async def script(_, writer):
        writer.write(count * INTERIM)
        await writer.drain()
        writer.close()

    async def test(fixture):
        await check_failed(fixture, path)

    run(test, script, script)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("line", NO_ANSWERS[:1] + NO_ANSWERS[6:7])
def test_request_without_an_answer_runs_again_where_it_may(line, path):
    # A status that is none was taken for the outcome of the request.
    sends = []
    answer = answer_with(make_head(line), SOUND)

    async def script(head, writer):
        sends.append(head)
        await answer(head, writer)

    async def test(fixture):
        again = {**IDEMPOTENT_ROUTE, "max-attempts": 2}
        routes = [*ROUTES, RESUMABLE, again]
        fixture.configure(version=99, routes=routes)
        if path not in REPEATABLE_PATHS:
            await check_failed(fixture, path)
            assert len(sends) == 1
            return
        head, body, whole = await call(fixture, path)
        assert head.startswith(b"HTTP/1.1 200 ")
        assert whole and body == BODY and len(sends) == 2

    run(test, script, script)


@pytest.mark.parametrize("piece", (1, 1 << 16))
@pytest.mark.parametrize("before", (b"", INTERIM, INTERIM + INTERIM))
@pytest.mark.parametrize("line", ANSWERS)
def test_answer_is_handed_on_as_it_is(line, before, piece):
    # A stricter reading of first lines must not cost sound answers.
    async def test(fixture):
        head, body, whole = await call(fixture, "/once/x")
        assert head.split(b" ")[1] == line.encode().split(b" ")[1]
        assert whole and body == BODY

    run(test, answer_with(before + make_head(line), piece=piece))


@pytest.mark.parametrize("line", (NO_ANSWERS[0], NO_ANSWERS[6], ANSWERS[0]))
def test_first_line_is_judged_with_the_other_parser(line, monkeypatch):
    # The library has a second parser, which reads first lines by itself.
    place = "aiohttp.client_proto.HttpResponseParser"
    monkeypatch.setattr(place, HttpResponseParserPy)

    async def test(fixture):
        if line in NO_ANSWERS:
            await check_failed(fixture, "/once/x")
            return
        _, body, whole = await call(fixture, "/once/x")
        assert whole and body == BODY

    run(test, answer_with(make_head(line)))


@pytest.mark.parametrize("step", (1, 2, 3, 5, 13, 1 << 16))
@pytest.mark.parametrize("line_end", (b"\r\n", b"\n"))
def test_first_lines_are_found_in_any_pieces(line_end, step):
    # A head that arrives in parts must be judged as one that comes at once.
    heads = {
        b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.1 000": True,
        INTERIM + b"HTTP/1.1 200\r\n\r\nRTSP/1.0 200 OK": True,
        b"\r\nHTTP/1.1 599 Odd\r\n\r\n": True,
        INTERIM + b"HTTP/1.1 099 OK\r\n\r\n": False,
        b"HTTP/1.1 100\r\n\r\nRTSP/1.0 200 OK\r\n\r\n": False,
        b"\r\nHTTP/1.1 000 OK\r\n\r\n": False,
        b"x\r\n": False,
    }
    for head, expected in heads.items():
        data, lines = head.replace(b"\r\n", line_end), StartLines()
        parts = (data[at : at + step] for at in range(0, len(data), step))
        assert all(map(lines.feed, parts)) is expected, head
