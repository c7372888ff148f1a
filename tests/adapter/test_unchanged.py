"""Tests of what reaches targets: the bytes that the client sent."""

import gzip
import zlib

import pytest

from entryfixture import build_request
from entryfixture import read_status
from entryfixture import run

PLAIN = b'{"note": "x"}' * 20
CODED = {
    "gzip": gzip.compress(PLAIN),
    "deflate": zlib.compress(PLAIN),
    "br": b"\x0b\x02\x80 no brotli",
    "zstd": b"no zstd",
    "gzip, gzip": gzip.compress(gzip.compress(PLAIN)),
    "identity": PLAIN,
    "other": b"gzip, as its header does not say",
}
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
    b"X-Chivepier-Server-Stamp: s1\r\nContent-Length: 0\r\n\r\n"
)


def count_body(head: bytes) -> int:
    """Return the length that a head names."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length: "):
            return int(line.partition(b": ")[2])
    return 0


def chunk(body: bytes) -> bytes:
    """Return a body in two chunks."""
    parts = (body[:5], body[5:])
    framed = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts if p)
    return framed + b"0\r\n\r\n"


@pytest.mark.parametrize("chunked", (False, True))
@pytest.mark.parametrize("body", (None, b"no such coding"))
@pytest.mark.parametrize("coding", CODED)
def test_body_is_passed_on_in_its_coding(coding, body, chunked):
    # Targets ran other bytes than the client sent, under the same header.
    sent = CODED[coding] if body is None else body
    found = []

    async def script(head, writer):
        found.append(head)
        found.append(
            await fixtures[0].raw.reader.readexactly(count_body(head))
        )
        writer.write(ANSWER)

    fixtures = []

    async def test(fixture):
        fixtures.append(fixture)
        line = f"Content-Encoding: {coding}"
        data = build_request("/once/x", line, body=sent)
        if chunked:
            head, _, _ = data.partition(b"\r\n\r\n")
            length = b"Content-Length: %d" % len(sent)
            head = head.replace(length, b"Transfer-Encoding: chunked")
            data = head + b"\r\n\r\n" + chunk(sent)
        answer = await fixture.send(data)
        assert read_status(answer) == 200
        head, got = found
        assert got == sent
        assert b"content-encoding: " + coding.encode() in head.lower()

    run(script, test)


# Headers whose values targets are sent, and one of a client's own.
NAMES = (
    "X-Chivepier-Model",
    "X-Chivepier-Prefix-Hash",
    "X-Api-Key",
    "Resumes",
    "X-Own",
)


@pytest.mark.parametrize(
    "value", (b"m\xe9", b"\xff", b"m\xc3", b"\xed\xa0\x80")
)
@pytest.mark.parametrize("name", NAMES)
def test_header_that_is_no_utf_8_is_refused(name, value):
    # A byte was left out on the way: the request ran for another model.
    data = build_request("/once/x", f"{name}: VALUE").replace(b"VALUE", value)

    async def test(fixture):
        assert read_status(await fixture.send(data)) == 400
        assert not fixture.raw.requests

    run(None, test)


@pytest.mark.parametrize("value", ("m", "m\u00e9", "\U0001f600", "a b"))
@pytest.mark.parametrize("name", ("X-Chivepier-Model", "X-Own"))
def test_header_is_passed_on_byte_for_byte(name, value):
    async def script(head, writer):
        writer.write(ANSWER)

    async def test(fixture):
        data = build_request("/once/x", f"{name}: {value}")
        assert read_status(await fixture.send(data)) == 200
        (head,) = fixture.raw.requests
        assert f"\r\n{name}: {value}\r\n".encode() in head

    run(script, test)


@pytest.mark.parametrize("path", (b"/once/\xe9", b"/once/x?q=\xff"))
def test_path_that_is_no_utf_8_never_runs_as_another(path):
    # What is left out of a path makes it that of another request.
    data = build_request("/once/x").replace(b"/once/x", path, 1)

    async def test(fixture):
        assert read_status(await fixture.send(data)) == 400
        assert not fixture.raw.requests

    run(None, test)
