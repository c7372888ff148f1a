"""Tests of ends of streams, judged by the framing that a caller gets."""

import asyncio
import contextlib

import attrs
import pytest

from entryfixture import build_request
from entryfixture import EntryFixture
from entryfixture import IDEMPOTENT_ROUTE
from entryfixture import ROUTES
import rawtarget

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
    b"X-Chivepier-Server-Stamp: s1\r\n"
)
WITHOUT_LENGTH = HEAD + b"Connection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
RESUMABLE = {
    **ROUTES[1],
    "name": "resume",
    "path-prefix": "/resume/",
    "resumable": True,
    "max-attempts": 2,
}
EVENTS = (b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n")
# Beginnings of the second event, with either line ending.
UNFINISHED = {
    "name": b"i",
    "line": b"id: 2\nda",
    "last-line": b"id: 2\ndata: two",
    "lines": b"id: 2\ndata: two\n",
    "crlf-line": b"id: 2\r\nda",
    "crlf-lines": b"id: 2\r\ndata: two\r\n",
    "comment-and-line": b": note\nid: 2\n",
    "comment": b": no",
}


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection in order."""
    writer.close()


ENDINGS = (close, rawtarget.reset)


def parse_answer(answer: bytes) -> tuple[bytes, bytes, bool]:
    """Split an answer into its head and body; tell if it looks whole."""
    head, _, rest = answer.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return head, rest, True
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        count = int(size or b"0", 16)
        if not count:
            return head, body, rest == b"\r\n"
        body, rest = body + rest[:count], rest[count + 2 :]
    return head, body, False


def serve_body(*parts: bytes, end=close, head: bytes = WITHOUT_LENGTH):
    """Return a script that answers with parts of a body, and then ends."""

    async def script(_, writer):
        for part in (head, *parts):
            writer.write(part)
            await writer.drain()
            # a reset discards what has not been read yet
            await asyncio.sleep(0.02)
        end(writer)

    return script


async def call(
    fixture: EntryFixture, path: str, request_id: str = "r1"
) -> tuple[bytes, bytes, bool]:
    """Send a request; return head and body and whether they look whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
    writer.write(build_request(path).replace(b"r1", request_id.encode()))
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(10_000):
            data += part
    writer.close()
    return parse_answer(data)


def run(test, first, second=None) -> None:
    """Run a test with an entry and one or two scripted targets."""

    async def work():
        async with asyncio.timeout(15), EntryFixture(first) as fixture:
            fixture.configure(routes=[*ROUTES, RESUMABLE, IDEMPOTENT_ROUTE])
            if second is None:
                await test(fixture)
                return
            async with rawtarget.RawTarget(second) as other:
                other.instance = "i2"
                target = attrs.evolve(
                    other.make_target(),
                    heard=fixture.entry.table.get("i1").heard,
                )
                fixture.entry.table.put(target)
                await test(fixture)

    asyncio.run(work())


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize("unfinished", UNFINISHED.values(), ids=UNFINISHED)
def test_stream_that_ends_inside_an_event_does_not_look_whole(unfinished, end):
    # A stream without a length that broke off was ended as a whole one.
    async def test(fixture):
        head, body, whole = await call(fixture, "/stream/x")
        assert head.startswith(b"HTTP/1.1 200")
        assert not whole
        assert body == EVENTS[0]

    run(test, serve_body(EVENTS[0], unfinished, end=end))


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize(
    "first",
    (b"", b"id: 1\nda", b"id: 1\ndata: one\n"),
    ids=("nothing", "line", "lines"),
)
def test_stream_without_an_event_is_no_success(first, end):
    # An answer that broke off before its first event was a whole, empty one.
    async def test(fixture):
        head, _, _ = await call(fixture, "/stream/x")
        assert head.startswith(b"HTTP/1.1 502")

    run(test, serve_body(first, end=end))


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize("unfinished", UNFINISHED.values(), ids=UNFINISHED)
def test_resumable_stream_goes_on_after_an_end_inside_an_event(
    unfinished, end
):
    # A stream that could go on elsewhere was ended inside an event instead.
    breaks = serve_body(EVENTS[0], unfinished, end=end)
    goes_on = serve_body(EVENTS[1])

    async def script(head, writer):
        resumed = b"last-event-id: 1" in head.lower()
        await (goes_on if resumed else breaks)(head, writer)

    async def test(fixture):
        head, body, whole = await call(fixture, "/resume/x")
        assert head.startswith(b"HTTP/1.1 200")
        assert whole
        assert body == b"".join(EVENTS)

    run(test, script, script)


@pytest.mark.parametrize(
    "parts",
    [
        EVENTS,
        tuple(event.replace(b"\n", b"\r\n") for event in EVENTS),
        (EVENTS[0], EVENTS[1].replace(b"\n", b"\r\n")),
        (b"id: 1\r\ndata: one\n\r\n", b"id: 2\ndata: two\r\n\n"),
        (b"\xef\xbb\xbf" + EVENTS[0], EVENTS[1]),
        (*EVENTS, b"\n"),
        (*EVENTS, b": end\n"),
        (b"data: no number\n\n", b": note\n\n"),
    ],
    ids=(
        "lf",
        "crlf",
        "lf-then-crlf",
        "mixed-in-events",
        "mark",
        "blank-line-after",
        "comment-after",
        "no-numbers",
    ),
)
@pytest.mark.parametrize("by_byte", (False, True))
def test_whole_stream_without_a_length_stays_whole(parts, by_byte):
    # Stricter rules for ends must not cut streams because of their framing.
    body = b"".join(parts)

    async def script(head, writer):
        writer.write(WITHOUT_LENGTH)
        pieces = [bytes([byte]) for byte in body] if by_byte else [body]
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)
        writer.close()

    async def test(fixture):
        head, got, whole = await call(fixture, "/stream/x")
        assert head.startswith(b"HTTP/1.1 200")
        assert whole
        assert got == body
        series = fixture.entry.metrics.render().decode()
        assert 'cause="close",taken_for="whole"} 1.0' in series

    run(test, script)


@pytest.mark.parametrize(
    "rest",
    (b"", b"id: 2\ndata: two", b"id: 2\nda"),
    ids=("nothing", "last-line", "line"),
)
def test_length_tells_the_end_of_a_stream_whatever_its_last_bytes(rest):
    # A body with a length is whole once it is there, as its target sent it.
    body = EVENTS[0] + rest
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)

    async def test(fixture):
        _, got, whole = await call(fixture, "/stream/x")
        assert whole
        assert got == body

    run(test, serve_body(body, head=head))


@pytest.mark.parametrize("end", ENDINGS)
@pytest.mark.parametrize(
    "head, body",
    [
        (HEAD + b"Content-Length: 99\r\n\r\n", EVENTS[0]),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"11\r\n" + EVENTS[0] + b"\r\n",
        ),
    ],
    ids=("length", "chunks"),
)
def test_stream_that_is_shorter_than_its_framing_does_not_look_whole(
    head, body, end
):
    # An orderly close before the end that the framing tells is no end.
    async def test(fixture):
        _, got, whole = await call(fixture, "/stream/x")
        assert not whole
        assert got in (b"", EVENTS[0])

    run(test, serve_body(body, head=head, end=end))


@pytest.mark.parametrize("path", ("/once/x", "/again/x"))
def test_plain_answer_without_a_length_is_whole_unless_reset(path):
    # A plain body has no events; only a reset shows that it was broken off.
    async def test_closed(fixture):
        head, body, whole = await call(fixture, path)
        assert head.startswith(b"HTTP/1.1 200")
        assert whole and body == b"abc"

    async def test_reset(fixture):
        head, _, _ = await call(fixture, path)
        assert head.startswith(b"HTTP/1.1 502")

    run(test_closed, serve_body(b"abc"))
    run(test_reset, serve_body(b"abc", end=rawtarget.reset))


def kill_after(
    raw: list[rawtarget.RawTarget], *parts: bytes, head: bytes = WITHOUT_LENGTH
):
    """Return a script that ends its target after parts of a body."""

    async def script(request, writer):
        answer = serve_body(*parts, end=lambda _: raw[0].kill(), head=head)
        await answer(request, writer)

    return script


def run_killed(test, *parts: bytes, head: bytes = WITHOUT_LENGTH) -> None:
    """Run a test with a target that is killed after parts of a body."""
    raw: list[rawtarget.RawTarget] = []

    async def work(fixture):
        raw.append(fixture.raw)
        await test(fixture)

    run(work, kill_after(raw, *parts, head=head))


def test_stream_without_a_length_of_a_killed_target_does_not_look_whole():
    # The system closes the connections of a killed process in order.
    async def test(fixture):
        head, body, whole = await call(fixture, "/stream/x")
        assert head.startswith(b"HTTP/1.1 200")
        assert body == EVENTS[0]
        assert not whole

    run_killed(test, EVENTS[0])


@pytest.mark.parametrize(
    "path, statuses",
    (("/once/x", (b"502",)), ("/again/x", (b"502", b"503"))),
    ids=("once", "again"),
)
def test_plain_answer_without_a_length_of_a_killed_target_fails(
    path, statuses
):
    # Half of a plain answer was passed on as the whole one.
    async def test(fixture):
        head, _, _ = await call(fixture, path)
        assert head.split(b" ")[1] in statuses

    run_killed(test, b"abc")


FAILURES = (b"404 Not Found", b"409 Conflict", b"500 Internal Server Error")


@pytest.mark.parametrize("path", ("/once/x", "/stream/x"))
@pytest.mark.parametrize("failure", FAILURES)
def test_failure_without_a_length_of_a_killed_target_is_not_handed_on(
    failure, path
):
    # Half of what a target told of a failure was passed on as all of it.
    head = WITHOUT_LENGTH.replace(b"200 OK", failure)

    async def test_killed(fixture):
        found, _, _ = await call(fixture, path)
        assert found.startswith(b"HTTP/1.1 502")

    async def test_living(fixture):
        found, body, whole = await call(fixture, path)
        assert found.startswith(b"HTTP/1.1 " + failure[:3])
        assert whole and body == b"abc"

    run_killed(test_killed, b"abc", head=head)
    run(test_living, serve_body(b"abc", head=head))
