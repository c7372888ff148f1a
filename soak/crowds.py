"""What clients outside the limits send, by place, shape and pace."""

import enum

import attrs

from chivepier.gateway.config import Limits

REQUEST_HEAD = (
    b"POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\n"
    b"X-Chivepier-Request-Id: crowd\r\nX-Chivepier-Deadline-Ms: 60000\r\n"
)
CHUNKED_HEAD = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = REQUEST_HEAD + b"Content-Length: 1\r\n\r\nx"
# Bytes of a line within the limits, and about what is sent at a time.
LINE_BYTES = 1 << 10
PIECE_BYTES = 16 << 10


class Pace(enum.Enum):
    """How fast a client sends, and whether it reads.

    ``FAST`` sends as fast as it can, ``DRIP`` a byte at a time with pauses,
    ``UNREAD`` is fast and reads nothing, ``DEAF`` drips and reads nothing,
    ``STILL`` sends the begin and then nothing.
    """

    FAST = "fast"
    DRIP = "drip"
    UNREAD = "unread"
    DEAF = "deaf"
    STILL = "still"


@attrs.frozen
class Shape:
    """What one client sends.

    :param first: sent at first
    :param more: sent after it, again and again
    :param pace: how fast
    """

    first: bytes
    more: bytes
    pace: Pace = Pace.FAST

    def make_repeatable(self) -> "Shape":
        """Return the same with requests that may run again.

        A crowd sends one request many times.
        """
        return attrs.evolve(
            self,
            first=self.first.replace(b"/once/", b"/again/"),
            more=self.more.replace(b"/once/", b"/again/"),
        )


def _fill(part: bytes) -> bytes:
    return part * max(1, PIECE_BYTES // len(part))


_LINE = b"X-Line: " + b"x" * LINE_BYTES + b"\r\n"

SHAPES = {
    "nothing": Shape(b"", b"", Pace.STILL),
    "empty-lines": Shape(b"", _fill(b"\r\n")),
    "empty-line-feeds": Shape(b"", _fill(b"\n")),
    "empty-lines-drip": Shape(b"", b"\r\n", Pace.DRIP),
    "empty-lines-after": Shape(REQUEST, _fill(b"\r\n")),
    "method": Shape(b"", _fill(b"A")),
    "target": Shape(b"GET /", _fill(b"x")),
    "version": Shape(b"GET / HTTP/1.", _fill(b"1")),
    "field-name": Shape(REQUEST_HEAD, _fill(b"X")),
    "field-value": Shape(REQUEST_HEAD + b"X: ", _fill(b"x")),
    "field-spaces": Shape(REQUEST_HEAD + b"X:", _fill(b" ")),
    "folded-lines": Shape(REQUEST_HEAD + b"X: x\r\n", _fill(b" x\r\n")),
    "lines": Shape(REQUEST_HEAD, _fill(_LINE)),
    "short-lines": Shape(REQUEST_HEAD, _fill(b"a:\r\n")),
    "head-drip": Shape(REQUEST_HEAD, b"x", Pace.DRIP),
    "head-then-nothing": Shape(REQUEST_HEAD + 14 * _LINE, b"", Pace.STILL),
    "body": Shape(
        REQUEST_HEAD + b"Content-Length: 999999999\r\n\r\n", _fill(b"x")
    ),
    "body-then-nothing": Shape(
        REQUEST_HEAD + b"Content-Length: 9\r\n\r\nx", b"", Pace.STILL
    ),
    "short-chunks": Shape(CHUNKED_HEAD, _fill(b"1\r\nx\r\n")),
    "chunk-size": Shape(CHUNKED_HEAD, _fill(b"0")),
    "chunk-extension": Shape(CHUNKED_HEAD + b"1;", _fill(b"x")),
    "chunk-data": Shape(CHUNKED_HEAD, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "trailers": Shape(CHUNKED_HEAD + b"0\r\n", _fill(b"X: x\r\n")),
    "requests-unread": Shape(b"", _fill(REQUEST), Pace.UNREAD),
    "upgrade": Shape(
        REQUEST_HEAD
        + b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
        + b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
        + b"AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
        _fill(b"x"),
    ),
    "expectation": Shape(
        REQUEST_HEAD + b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
        b"",
        Pace.STILL,
    ),
    "after-refusal": Shape(b"NO REQUEST\r\n\r\n", _fill(REQUEST)),
    "no-http": Shape(b"\x16\x03\x01\x02\x00\x01", _fill(b"\x00\xff")),
}

# Replaced by a number of its own for each connection.
CLIENT_ID = b"heavy-client"
_HEAVY_HEAD = REQUEST_HEAD.replace(b"crowd", CLIENT_ID)
_HEAVY = REQUEST.replace(b"crowd", CLIENT_ID)
_LARGE = _HEAVY.replace(b"/once/1", b"/again/large")
_ENDLESS = _HEAVY.replace(b"/once/1", b"/stream/endless")
_ALMOST = b"Content-Length: %d\r\n\r\n" % Limits().body_bytes


def _make_almost_whole(path: bytes, size: int) -> Shape:
    """Return a body at a voter that lacks its last byte."""
    head = b"PUT %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    body = b"x" * (size - 1)
    return Shape(head % (path, size) + body, b"", Pace.STILL)


# Of the sizes that a voter reads.
VOTER_SHAPES = {
    "announcements": _make_almost_whole(b"/chivepier/instances/i", 64 << 10),
    "orders": _make_almost_whole(b"/chivepier/config", 8 << 20),
}

# What costs an entry more than a head, a client.
HEAVY_SHAPES = {
    "answers-unread": Shape(_LARGE, b"\r\n", Pace.DEAF),
    "streams-unread": Shape(_ENDLESS, b"\r\n", Pace.DEAF),
    "bodies-almost-whole": Shape(
        _HEAVY_HEAD + _ALMOST + b"x" * (Limits().body_bytes - 1),
        b"",
        Pace.STILL,
    ),
    "bodies-drip": Shape(
        _HEAVY_HEAD + _ALMOST + b"x" * (Limits().body_bytes // 2),
        b"x",
        Pace.DRIP,
    ),
}
