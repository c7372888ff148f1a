"""Tests of what is taken for a request, byte by byte."""

import hypothesis
import hypothesis.strategies as st
import pytest

from adapter.chunkdecoder import ChunkDecoder
from adapter.framingerror import FramingError
from adapter.requesthead import read_head

MAX_LINE = 200
PIECE = 1 << 20
HOST = b"Host: h\r\n"
# Each can be read in two ways, or is no request.
REFUSED_HEADS = {
    "bare-line-feed": b"GET / HTTP/1.1\nHost: h\r\n\r\n",
    "bare-line-feed-in-field": b"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
    "bare-return": b"GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
    "null": b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n",
    "space-before-colon": b"GET / HTTP/1.1\r\nA : b\r\n\r\n",
    "no-name": b"GET / HTTP/1.1\r\n: b\r\n\r\n",
    "folded": b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
    "no-colon": b"GET / HTTP/1.1\r\nA\r\n\r\n",
    "version": b"GET / HTTP/2.0\r\n\r\n",
    "version-length": b"GET / HTTP/1.11\r\n\r\n",
    "no-version": b"GET /\r\n\r\n",
    "two-spaces": b"GET  / HTTP/1.1\r\n\r\n",
    "method": b"G(T / HTTP/1.1\r\n\r\n",
    "connect": b"CONNECT h:1 HTTP/1.1\r\n\r\n",
    "two-lengths": b"P / HTTP/1.1\r\n"
    + 2 * b"Content-Length: 1\r\n"
    + b"\r\n",
    "list-length": b"P / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
    "signed-length": b"P / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
    "negative-length": b"P / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "hexadecimal-length": b"P / HTTP/1.1\r\nContent-Length: 0x1\r\n\r\n",
    "empty-length": b"P / HTTP/1.1\r\nContent-Length:\r\n\r\n",
    "long-length": b"P / HTTP/1.1\r\nContent-Length: "
    + b"9" * 19
    + b"\r\n\r\n",
    "length-and-chunks": (
        b"P / HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    ),
    "two-codings": (
        b"P / HTTP/1.1\r\n" + 2 * b"Transfer-Encoding: chunked\r\n" + b"\r\n"
    ),
    "coding-before": (
        b"P / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    ),
    "other-coding": b"P / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
    "chunks-in-1.0": b"P / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
}
REFUSED_BODIES = {
    "signed": b"+1\r\nx\r\n",
    "prefixed": b"0x1\r\nx\r\n",
    "empty": b"\r\nx",
    "long": b"0" * 16 + b"\r\n",
    "line-feed": b"1\nx\n",
    "line-feed-in-extension": b"1;a\nb\r\nx\r\n",
    "over-size": b"1\r\nxy\r\n",
    "extension": b"1;" + b"x" * MAX_LINE,
    "size": b"0" * MAX_LINE,
    "trailer": b"0\r\nA: " + b"x" * MAX_LINE,
    "trailers": b"0\r\n" + b"A: x\r\n" * MAX_LINE,
    "no-trailer": b"0\r\nGET / HTTP/1.1\r\n",
}


@pytest.mark.parametrize("data", REFUSED_HEADS.values(), ids=REFUSED_HEADS)
def test_head_that_parsers_read_differently_is_refused(data):
    # Another parser on the way would see a request inside another one.
    with pytest.raises(FramingError) as caught:
        read_head(data)
    assert caught.value.status == 400


def test_head_with_an_offer_of_another_protocol_is_an_ordinary_one():
    # After it the library read no request, and kept what came.
    begin = b"GET / HTTP/1.1\r\n" + HOST
    head = read_head(begin + b"upgrade: websocket\r\nA: b\r\n\r\n")
    assert head.data == begin + b"A: b\r\n\r\n"


@pytest.mark.parametrize("data", REFUSED_BODIES.values(), ids=REFUSED_BODIES)
def test_body_that_is_none_or_has_no_end_is_refused(data):
    # A line without end was kept, and chunks were read in several ways.
    with pytest.raises(FramingError) as caught:
        ChunkDecoder(MAX_LINE).decode(data, PIECE)
    assert caught.value.status == 400


def test_short_chunks_are_bounded_by_what_delimits_them():
    # A body of single bytes cost far more than its size.
    decoder = ChunkDecoder(MAX_LINE)
    with pytest.raises(FramingError):
        for _ in range(1 << 15):
            decoder.decode(b"1\r\nx\r\n", PIECE)


@hypothesis.seed(75)
@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(
    parts=st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    cuts=st.lists(st.integers(1, 30), min_size=1, max_size=40),
    extension=st.sampled_from((b"", b";a=b", b" ;x")),
    trailers=st.sampled_from((b"", b"A: b\r\n", b"A:\r\nB: c\r\n")),
)
def test_body_is_the_same_however_it_arrives(parts, cuts, extension, trailers):
    """Guards against data that depends on where a read ends."""
    encoded = b"".join(
        b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts
    )
    encoded += b"0\r\n" + trailers + b"\r\n"
    rest = encoded + b"GET / HTTP/1.1\r\n"
    decoder, held, found, is_whole = ChunkDecoder(MAX_LINE), b"", b"", False
    sizes = iter(cuts * len(rest))
    while not is_whole:
        size = next(sizes)
        held, rest = held + rest[:size], rest[size:]
        data, count, is_whole = decoder.decode(held, PIECE)
        found, held = found + data, held[count:]
    assert found == b"".join(parts)
    assert held + rest == b"GET / HTTP/1.1\r\n"


@hypothesis.seed(75)
@hypothesis.settings(max_examples=300, deadline=None, database=None)
@hypothesis.given(data=st.binary(max_size=80))
def test_any_bytes_are_refused_or_understood(data):
    """Guards against errors of any other kind, which end a connection."""
    for work in (
        lambda: read_head(data + b"\r\n\r\n"),
        lambda: ChunkDecoder(MAX_LINE).decode(data, PIECE),
    ):
        try:
            work()
        except FramingError as error:
            assert error.status == 400
