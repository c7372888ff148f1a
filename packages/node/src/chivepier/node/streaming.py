"""Writing a stream to a caller."""

import asyncio
import collections.abc
import contextlib
import json

from aiohttp import web
import logbook

from chivepier.node.answers import answer_failure
from chivepier.node.entry import Entry
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import render_failure
from chivepier.types import RequestError

log = logbook.Logger("streaming")

HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
# below this the library never waits for the caller
FREE_BYTES = 16 << 10


async def send_stream(
    entry: Entry,
    request: web.Request,
    events: collections.abc.AsyncGenerator[bytes, None],
) -> web.StreamResponse:
    """Write events as they come, and say so when they end early.

    A caller that takes nothing for ``patience.slow`` is given up: what it
    does not take stays in buffers here and in the engine's memory.

    :param entry: the node's parts
    :param request: the caller's request
    :param events: whole events; closed in any case
    :returns: the finished response
    """
    response = web.StreamResponse(headers=HEADERS)
    try:
        async with contextlib.aclosing(events):
            async for data in events:
                if not response.prepared:
                    await response.prepare(request)
                if has_room(request, data):
                    await response.write(data)
                else:
                    async with asyncio.timeout(entry.patience.slow):
                        await response.write(data)
        return response
    except RequestError as error:
        failure = error.failure
    except TimeoutError:
        text = "the caller took nothing for too long"
        failure = Failure(ErrorKind.STOPPED_EARLY, text, Ran.YES)
    except (ConnectionError, asyncio.CancelledError):
        raise
    except Exception:
        log.exception("stream failed path={}", request.path)
        text = "internal error"
        failure = Failure(ErrorKind.INTERNAL, text, Ran.UNKNOWN)
    entry.metrics.count_failure(failure)
    if not response.prepared:
        return answer_failure(failure)
    await end_stream(entry, request, response, failure)
    return response


def has_room(request: web.Request, data: bytes) -> bool:
    """Tell whether a write can't have to wait for the caller."""
    transport = request.transport
    if transport is None:
        return False
    return transport.get_write_buffer_size() + len(data) < FREE_BYTES


async def end_stream(
    entry: Entry,
    request: web.Request,
    response: web.StreamResponse,
    failure: Failure,
) -> None:
    """Write the last event, and don't wait for ever until it is taken."""
    try:
        async with asyncio.timeout(entry.patience.slow):
            await response.write(render_last_event(failure))
            await response.write_eof()
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()


def render_last_event(failure: Failure) -> bytes:
    """Build the event that ends a stream which can't be completed.

    :param failure: what happened; an event was delivered, so it did run
    :returns: one event; the stream has no ``[DONE]``
    """
    body = render_failure(failure)
    body["error"]["ran"] = Ran.YES.value
    return b"event: error\ndata: " + json.dumps(body).encode() + b"\n\n"
