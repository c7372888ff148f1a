"""Where a stream breaks off in its own connection, and with what error."""

import random

from aiohttp import web
import attrs

from soak.events import EVENT_COUNT
from soak.proxy import reset_connection

# What a proxy before a target writes into a body that has begun. Within an
# event only a head can be told from its data.
HEADS = tuple(
    f"HTTP/1.1 {status}{end}Content-Type: text/plain{end}"
    f"Content-Length: 16{end}{end}upstream trouble".encode()
    for status in ("502 Bad Gateway", "500 Internal Server Error", "404 ")
    for end in ("\r\n", "\n")
)
TEXTS = (
    b"upstream trouble",
    b"upstream trouble\n\n",
    b"<html><body>upstream trouble</body></html>\r\n\r\n",
    b'{"error": "upstream trouble"}\n\n',
)
# Most bytes that are written of an event, which is longer.
MAX_WRITTEN_BYTES = 20


@attrs.frozen
class StreamBreak:
    """The place and the manner of a break.

    :param place: place of the event at which the stream breaks
    :param written: number of its bytes that are still written
    :param error: what is written then, in a body without a length
    :param resets: whether the connection is reset, not closed
    """

    place: int
    written: int
    error: bytes
    resets: bool

    async def write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        event: bytes,
    ) -> None:
        """Write what comes at the break, and end the connection.

        :param event: the event at which the stream breaks
        """
        part = event[: self.written] + self.error
        if part:
            await response.write(part)
        transport = request.transport
        if self.error:
            await response.write_eof()
        elif transport is None:
            # whoever asked has gone
            return
        elif self.resets:
            reset_connection(transport)
        else:
            # before the framing tells an end
            transport.close()


def draw_stream_break(
    rng: random.Random, first: int, by_error: bool
) -> StreamBreak:
    """Draw a break.

    :param rng: random number generator
    :param first: place of the first event that is sent
    :param by_error: whether an error is written at the break
    """
    written = rng.choice((0, rng.randint(1, MAX_WRITTEN_BYTES)))
    place = rng.randint(min(first, EVENT_COUNT), EVENT_COUNT)
    error = b""
    if by_error:
        error = rng.choice(HEADS if written else (*HEADS, *TEXTS))
    # a close between two events of a body without a length tells an end
    resets = not written or rng.random() < 0.5
    return StreamBreak(place, written, error, resets)
