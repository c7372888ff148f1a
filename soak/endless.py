"""Answers that never end, by the part that goes on."""

ID_LINE = b"X-Chivepier-Request-Id: r1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"X-Chivepier-Server-Stamp: s1\r\n"
REFUSAL = HEAD.replace(b"200 OK", b"503 Full") + b"X-Chivepier-Not-Run: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def make_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


# For each, the first bytes and those that follow without end.
ENDLESS = {
    "head-lines": (HEAD, b"X-A: b\r\n" * 100),
    "head-line": (HEAD + b"X-A: ", b"a" * 1000),
    "status-line": (b"HTTP/1.1 200 ", b"O" * 1000),
    "blank-lines": (b"", b"\r\n" * 500),
    "interim-answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50),
    "body-without-length": (HEAD + b"\r\n", b"x" * 1000),
    "body-with-length": (
        HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * 1000,
    ),
    "chunks": (CHUNKED, b"5\r\nhello\r\n" * 100),
    "short-chunks": (CHUNKED, make_chunk(b"x" * 9) * 50),
    "larger-chunks": (CHUNKED, make_chunk(b"x" * 500)),
    "chunk-size": (CHUNKED, b"0" * 1000),
    "chunk-extension": (CHUNKED + b"5;", b"e" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 100),
    "body-of-error": (
        HEAD.replace(b"200 OK", b"500 Error") + b"\r\n",
        b"x" * 1000,
    ),
    "body-of-refusal": (REFUSAL + b"\r\n", b"x" * 1000),
}
# The same for bodies of streams, of which none holds an event.
ENDLESS_STREAMS = {
    "comments": (CHUNKED, make_chunk(b": note\n" * 100)),
    "comments-apart": (CHUNKED, make_chunk(b": note\n\n" * 100)),
    "empty-lines": (CHUNKED, make_chunk(b"\n" * 500)),
    "event": (CHUNKED, make_chunk(b"data: more\n" * 100)),
    "line": (HEAD + b"\r\n", b"data: more" * 100),
}
# The same for answers that nobody asked for, after one that somebody did.
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
NEEDLESS = {
    "empty-answers": (WHOLE, b"HTTP/1.1 204 \r\n\r\n" * 100),
    "answers": (WHOLE, WHOLE * 20),
}
