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
