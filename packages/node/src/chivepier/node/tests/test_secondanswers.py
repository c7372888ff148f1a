"""What a caller gets of an error after its stream has begun, byte for byte."""

import asyncio
import types

import pytest

from chivepier.node.httpserver import make_app
from chivepier.node.httpserver import serve_app
from chivepier.node.inprogress import InProgress
from chivepier.node.metrics import Metrics
from chivepier.node.streaming import render_last_event
from chivepier.node.streaming import send_stream
from chivepier.node.tests.fakeentry import SHORT
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

EVENT = b"id: h.0\ndata: t\n\n"
REQUEST = b"GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
TROUBLE = "trouble"
INTERNAL = Failure(ErrorKind.INTERNAL, "internal error", Ran.UNKNOWN)
FAILED = Failure(ErrorKind.TARGET_FAILED, TROUBLE, Ran.YES)
# an error, and the last event that tells it; none where the connection went
ERRORS = {
    "of-ours": (RequestError(FAILED), render_last_event(FAILED)),
    "unforeseen": (RuntimeError(TROUBLE), render_last_event(INTERNAL)),
    "connection": (ConnectionResetError(TROUBLE), b""),
    "cancelled": (asyncio.CancelledError(), b""),
}


class FailingStreams:
    """Streams that fail after some events."""

    def __init__(self, count: int, error: BaseException):
        self._count = count
        self._error = error
        self._entry = types.SimpleNamespace(metrics=Metrics(), patience=SHORT)

    def add_routes(self, app) -> None:
        """Register the path."""
        app.router.add_get("/stream", self._stream)

    async def _stream(self, request):
        return await send_stream(self._entry, request, self._read())

    async def _read(self):
        for _ in range(self._count):
            yield EVENT
        raise self._error


async def call(count: int, error: BaseException) -> bytes:
    """Return all that a caller gets."""
    app = make_app(Metrics(), InProgress(), [FailingStreams(count, error)])
    async with asyncio.timeout(5), serve_app(app, "127.0.0.1:0") as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        received = b""
        try:
            while data := await reader.read(1 << 16):
                received += data
        except ConnectionResetError:
            pass
        finally:
            writer.close()
    return received


def join_chunks(*parts: bytes) -> bytes:
    """Return a body in chunks, without its end."""
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts if p)


@pytest.mark.parametrize("count", (1, 2))
@pytest.mark.parametrize("name", ERRORS)
def test_error_after_a_head_begins_no_second_answer(name, count):
    # The head and body of an error stood in the stream that had begun.
    error, last = ERRORS[name]
    received = asyncio.run(call(count, error))
    head, _, body = received.partition(b"\r\n\r\n")
    whole = join_chunks(*count * [EVENT], last)
    if last:
        assert head.startswith(b"HTTP/1.1 200")
        assert body == whole + b"0\r\n\r\n"
    else:
        # what was not written yet is lost with the connection
        assert b"HTTP/1.1 500" not in received
        assert whole.startswith(body)
