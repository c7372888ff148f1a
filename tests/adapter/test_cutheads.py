"""Tests of answers that end inside their head or framing, at any byte."""

import asyncio

from aiohttp.http_parser import HttpResponseParser
from aiohttp.http_parser import HttpResponseParserPy
import pytest
from test_streamends import call
from test_streamends import ENDINGS
from test_streamends import EVENTS
from test_streamends import HEAD
from test_streamends import RESUMABLE
import uvloop

from entryfixture import EntryFixture
from entryfixture import IDEMPOTENT_ROUTE
from entryfixture import ROUTES
import rawtarget

LIMIT_SECONDS = 15.0
# Seconds for which the entry may read what was sent before a reset.
SETTLE_SECONDS = 0.005
# Times that a request may end unsent, where the entry stands still.
MAX_UNSENT = 3
BODY = b"".join(EVENTS)
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in EVENTS)
WHOLE = HEAD + LENGTH + b"\r\n"
# Heads and bodies of normal answers.
ANSWERS = {
    "length": (WHOLE, BODY),
    "length-first": (HEAD.replace(b"X-", LENGTH + b"X-", 1) + b"\r\n", BODY),
    "line-feeds": (WHOLE.replace(b"\r\n", b"\n"), BODY),
    "interim": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + WHOLE,
        BODY,
    ),
    "chunks": (CHUNKED, CHUNKS + b"0\r\n\r\n"),
    "trailers": (CHUNKED, CHUNKS + b"0\r\nX-Sum: 1\r\n\r\n"),
    "neither": (HEAD + b"\r\n", BODY),
}
# Codings of bodies that a reader takes to end with the connection, although
# their names have the word for the one that tells its end.
CODINGS = ("chunked, gzip", "xchunked", "chunked\r\nTransfer-Encoding: gzip")


def ask(path: str, answer: bytes, end) -> tuple[int, bytes, bool, int]:
    """Ask an entry whose target sends some bytes, and then ends.

    :returns: status, body, whether it looks whole, and the number of sends
    """

    async def script(_, writer):
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(SETTLE_SECONDS)
        end(writer)

    async def work():
        async with (
            asyncio.timeout(LIMIT_SECONDS),
            EntryFixture(script) as fixture,
        ):
            fixture.configure(routes=[*ROUTES, RESUMABLE, IDEMPOTENT_ROUTE])
            head, body, whole = await call(fixture, path)
            return int(head[9:12]), body, whole, len(fixture.raw.requests)

    # the loop of the processes
    for _ in range(MAX_UNSENT):
        found = uvloop.run(work())
        if found[3]:
            break
        # of a request that reached no target, nothing is a success
        assert found[0] >= 500
    return found


def may_look_whole(path: str, name: str, end, body: bytes) -> bool:
    """Tell whether a part of an answer without its end may look whole.

    A body without a length ends with its connection, if that is closed in
    order; a stream's not amid an event, nor before the first.
    """
    if name != "neither" or end is rawtarget.reset:
        return False
    return path in ("/once/x", "/again/x") or body == EVENTS[0]


def check_cuts(path: str, name: str, end) -> None:
    """Check what a caller gets of an answer, cut after any of its bytes."""
    head, body = ANSWERS[name]
    answer = head + body
    for cut in range(len(answer)):
        status, got, whole, sends = ask(path, answer[:cut], end)
        assert sends == 1 or path == "/resume/x" and sends == 2, cut
        if cut < len(head):
            assert status == 502, cut
        elif status != 502:
            assert status == 200, cut
            assert not whole or may_look_whole(path, name, end, got), cut
    status, got, whole, sends = ask(path, answer, ENDINGS[0])
    assert (status, got, whole, sends) == (200, BODY, True, 1)


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize("path", ("/once/x", "/resume/x"))
@pytest.mark.parametrize("name", ANSWERS)
def test_cut_answer_is_no_whole_one(name, path, end):
    # An answer whose head broke off was a whole one with an empty body.
    check_cuts(path, name, end)


@pytest.mark.parametrize("name", ("length", "interim", "chunks", "neither"))
def test_cut_answer_is_no_whole_one_to_the_other_parser(name, monkeypatch):
    # The library has a second parser, which ends heads by code of its own.
    assert HttpResponseParser is not HttpResponseParserPy
    place = "aiohttp.client_proto.HttpResponseParser"
    monkeypatch.setattr(place, HttpResponseParserPy)
    check_cuts("/once/x", name, ENDINGS[0])


@pytest.mark.parametrize("parser", (HttpResponseParser, HttpResponseParserPy))
@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize("path", ("/once/x", "/stream/x", "/resume/x"))
@pytest.mark.parametrize("coding", CODINGS)
def test_body_in_an_unknown_coding_is_no_answer(
    coding, path, end, parser, monkeypatch
):
    # A stream cut by a close was whole: its head seemed to tell its end.
    monkeypatch.setattr("aiohttp.client_proto.HttpResponseParser", parser)
    head = HEAD + f"Transfer-Encoding: {coding}\r\n\r\n".encode()
    for body in (b"", EVENTS[0], EVENTS[0] + b"id", BODY, CHUNKS):
        status, _, whole, _ = ask(path, head + body, end)
        assert status == 502 or not whole


def test_switch_of_the_protocol_is_no_answer():
    # No caller asked for it: a 101 was handed on, its connection kept.
    head = HEAD.replace(b"200 OK", b"101 Switching Protocols")
    head += b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    for path in ("/once/x", "/stream/x"):
        status, _, _, sends = ask(path, head, ENDINGS[0])
        assert (status, sends) == (502, 1)


@pytest.mark.parametrize("end", ENDINGS)
def test_cut_second_answer_of_a_connection_is_no_whole_one(end):
    # What was read of an earlier answer must not complete a later one.
    async def work(cut: int):
        async def script(head, writer):
            answer = WHOLE + BODY
            if b"r2" in head:
                answer = answer.replace(b"r1", b"r2")[:cut]
            writer.write(answer)
            await writer.drain()
            if b"r2" in head:
                await asyncio.sleep(SETTLE_SECONDS)
                end(writer)

        async with (
            asyncio.timeout(LIMIT_SECONDS),
            EntryFixture(script) as fixture,
        ):
            fixture.configure()
            _, body, whole = await call(fixture, "/once/x")
            assert whole and body == BODY
            head, body, _ = await call(fixture, "/once/x", "r2")
            assert head.startswith(b"HTTP/1.1 502")
            assert len(fixture.raw.requests) == 2

    for cut in range(len(WHOLE)):
        uvloop.run(work(cut))
