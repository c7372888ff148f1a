"""Tests of streams whose events count from 0, judged at a caller's socket."""

import pytest
from test_streamends import call
from test_streamends import HEAD
from test_streamends import LAST_CHUNK
from test_streamends import run
from test_streamends import serve_body
from test_streamends import WITHOUT_LENGTH

import rawtarget

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(3))
LAST_EVENT = b"last-event-id: "


def frame(part: bytes) -> bytes:
    """Return a part of a body as a chunk."""
    return b"%x\r\n%b\r\n" % (len(part), part)


def find_last_event(head: bytes) -> int | None:
    """Return the number that a request names as its last event."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LAST_EVENT):
            return int(line.removeprefix(LAST_EVENT))
    return None


def serve_rest(chunked: bool):
    """Return a script that sends what follows the event that is named."""

    async def script(head, writer):
        last = find_last_event(head)
        events = EVENTS if last is None else EVENTS[last + 1 :]
        if not chunked:
            await serve_body(*events)(head, writer)
            return
        parts = [*map(frame, events), LAST_CHUNK]
        await serve_body(*parts, head=CHUNKED)(head, writer)

    return script


@pytest.mark.parametrize("chunked", (True, False))
@pytest.mark.parametrize("path", ("/stream/x", "/resume/x"))
def test_stream_that_counts_from_0_has_its_first_event(path, chunked):
    # An event 0 was dropped, and the rest was told as the whole stream.
    async def test(fixture):
        _, body, whole = await call(fixture, path)
        assert whole and body == b"".join(EVENTS)

    run(test, serve_rest(chunked), serve_rest(chunked))


@pytest.mark.parametrize("chunked", (True, False))
@pytest.mark.parametrize(
    "shown, last",
    ((b"", None), (b"id: 0\nda", None), (EVENTS[0], 0)),
    ids=("nothing", "part", "event"),
)
def test_broken_stream_that_counts_from_0_goes_on(shown, last, chunked):
    # The next target was told of an event 0 that no caller had.
    heads = []

    async def script(head, writer):
        heads.append(head)
        if len(heads) > 1:
            await serve_rest(chunked)(head, writer)
        elif chunked:
            parts = (frame(shown),) if shown else ()
            breaks = serve_body(*parts, end=rawtarget.reset, head=CHUNKED)
            await breaks(head, writer)
        else:
            breaks = serve_body(
                shown, end=rawtarget.reset, head=WITHOUT_LENGTH
            )
            await breaks(head, writer)

    async def test(fixture):
        _, body, whole = await call(fixture, "/resume/x")
        assert whole and body == b"".join(EVENTS)
        assert find_last_event(heads[0]) is None
        assert find_last_event(heads[1]) == last

    run(test, script, script)
