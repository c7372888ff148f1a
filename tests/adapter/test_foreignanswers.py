"""Tests of what targets answer where the rest of a stream is due."""

import pytest
from test_streamends import call
from test_streamends import close
from test_streamends import EVENTS
from test_streamends import run
from test_streamends import serve_body

import rawtarget

ID = b"X-Chivepier-Request-Id: r1\r\n"
STAMP = b"X-Chivepier-Server-Stamp: s2\r\n"
SERIES = b"Content-Type: text/event-stream\r\n"
TEXT = b"Content-Type: text/plain\r\n"
JSON = b"Content-Type: application/json\r\n"
GZIP = SERIES + b"Content-Encoding: gzip\r\n"
SIGNED = ID + STAMP
ERROR_TEXT = b"upstream trouble"
ERROR_JSON = b'{"error": "trouble"}\n\n'
# first line and fields of a head, and its body
FOREIGN_HEADS = {
    "500": (b"500 Trouble", ID, ERROR_TEXT),
    "500-signed": (b"500 Trouble", SIGNED + SERIES, EVENTS[1]),
    "502": (b"502 Trouble", ID, ERROR_TEXT),
    "503": (b"503 Trouble", ID, ERROR_TEXT),
    "404": (b"404 Trouble", SIGNED, ERROR_TEXT),
    "302": (b"302 Elsewhere", ID + b"Location: /x\r\n", b""),
    "201": (b"201 Made", SIGNED + SERIES, EVENTS[1]),
    "202": (b"202 Later", SIGNED, ERROR_TEXT),
    "204": (b"204 Nothing", SIGNED, b""),
    "206": (b"206 Part", SIGNED + SERIES, EVENTS[1]),
    "unsigned-text": (b"200 OK", ID + TEXT, ERROR_TEXT),
    "unsigned-series": (b"200 OK", ID + SERIES, EVENTS[1]),
    "unsigned-empty": (b"200 OK", ID, b""),
    "text": (b"200 OK", SIGNED + TEXT, ERROR_TEXT),
    "json": (b"200 OK", SIGNED + JSON, ERROR_JSON),
    "json-empty": (b"200 OK", SIGNED + JSON, b""),
    "coded": (b"200 OK", SIGNED + GZIP, b"\x1f\x8b\x08\n\nxx"),
    "no-id": (b"200 OK", STAMP + SERIES, EVENTS[1]),
}
FRAMINGS = ("length", "chunks", "close")
BREAKS = {
    "reset-between": (b"", rawtarget.reset),
    "reset-inside": (b"id: 2\nda", rawtarget.reset),
    "close-inside": (b"id: 2\nda", close),
}


def build_foreign(line: bytes, fields: bytes, body: bytes, framing: str):
    """Return an answer with its body in a framing."""
    head = b"HTTP/1.1 " + line + b"\r\n" + fields
    if line.startswith(b"204"):
        return head + b"\r\n"
    match framing:
        case "length":
            size = b"Content-Length: %d\r\n" % len(body)
            return head + size + b"\r\n" + body
        case "chunks":
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            coding = b"Transfer-Encoding: chunked\r\n\r\n"
            return head + coding + chunk + b"0\r\n\r\n"
        case _:
            return head + b"Connection: close\r\n\r\n" + body


def break_off_then(answers: list[bytes], part: bytes, end):
    """Return a script whose first stream breaks off after an event.

    :param answers: answers to what follows; the last one again and again
    """
    heads = []

    async def script(head, writer):
        heads.append(head)
        if len(heads) == 1:
            await serve_body(EVENTS[0], part, end=end)(head, writer)
        else:
            answer = answers[min(len(heads) - 2, len(answers) - 1)]
            await serve_body(b"", head=answer)(head, writer)

    return script


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("breaks", BREAKS.values(), ids=BREAKS)
@pytest.mark.parametrize("foreign", FOREIGN_HEADS.values(), ids=FOREIGN_HEADS)
def test_answer_that_is_no_rest_never_becomes_a_part_of_a_stream(
    foreign, breaks, framing
):
    # What came where a rest was due was relayed as one, and told as whole.
    script = break_off_then([build_foreign(*foreign, framing)], *breaks)

    async def test(fixture):
        head, body, whole = await call(fixture, "/resume/x")
        assert head.startswith(b"HTTP/1.1 200")
        assert body == EVENTS[0]
        assert not whole

    run(test, script, script)


@pytest.mark.parametrize("foreign", FOREIGN_HEADS.values(), ids=FOREIGN_HEADS)
@pytest.mark.parametrize("part", (b"id: 1\nda", b": note\n\n"))
def test_answer_that_is_no_rest_begins_no_stream(part, foreign):
    # A stream that broke before its first event went on with an error.
    answer = build_foreign(*foreign, "length")
    heads = []

    async def script(head, writer):
        heads.append(head)
        if len(heads) == 1:
            await serve_body(part, end=rawtarget.reset)(head, writer)
        else:
            await serve_body(b"", head=answer)(head, writer)

    async def test(fixture):
        head, body, _ = await call(fixture, "/resume/x")
        assert head.startswith(b"HTTP/1.1 502")
        assert b"upstream" not in body and b"two" not in body
        assert len(heads) == 2

    run(test, script, script)


ERROR_HEAD = b"HTTP/1.1 500 Trouble\r\nContent-Length: 3\r\n\r\n"
# what stands where the next event is due, under a head without a fault
FOREIGN_PIECES = {
    "head": ERROR_HEAD + b"bad",
    "text": ERROR_TEXT,
    "text-line": ERROR_TEXT + b"\n\n",
    "json": ERROR_JSON,
    "page": b"<html>\n\n<p>trouble</p>\n\n</html>\n",
    "error-event": b"event: error\ndata: trouble\n\n",
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("before", (b"", EVENTS[1]), ids=("first", "second"))
@pytest.mark.parametrize("piece", FOREIGN_PIECES.values(), ids=FOREIGN_PIECES)
def test_error_under_a_good_head_never_becomes_a_part_of_a_stream(
    piece, before, framing
):
    # The text or head of an error was relayed as more of the stream.
    answer = build_foreign(b"200 OK", SIGNED + SERIES, before + piece, framing)
    script = break_off_then([answer], b"", rawtarget.reset)

    async def test(fixture):
        _, body, whole = await call(fixture, "/resume/x")
        assert body == EVENTS[0] + before
        assert not whole

    run(test, script, script)


@pytest.mark.parametrize("path", ("/stream/x", "/resume/x"))
@pytest.mark.parametrize(
    "part", (b"", b"id: 2\nda", b"id: 2\ndata: two"), ids=("", "name", "data")
)
@pytest.mark.parametrize(
    "piece", (ERROR_HEAD, ERROR_HEAD + b"bad"), ids=("head", "head-and-body")
)
def test_error_in_a_streams_own_connection_is_no_part_of_it(piece, part, path):
    # The whole head of an error stood in the stream, as an event of its own.
    goes_on = build_foreign(b"200 OK", SIGNED + SERIES, EVENTS[1], "length")
    heads = []

    async def script(head, writer):
        heads.append(head)
        if len(heads) == 1:
            await serve_body(EVENTS[0], part + piece)(head, writer)
        else:
            await serve_body(b"", head=goes_on)(head, writer)

    async def test(fixture):
        _, body, whole = await call(fixture, path)
        resumes = path == "/resume/x"
        assert body == b"".join(EVENTS if resumes else EVENTS[:1])
        assert whole is resumes

    run(test, script, script)
