"""Tests of splitting a stream into events."""

import pytest

from chivepier.gateway.serving.eventsplitter import BYTE_ORDER_MARK
from chivepier.gateway.serving.eventsplitter import EventSplitter
from chivepier.gateway.serving.eventsplitter import is_unfinished

EVENTS = (
    b"id: 1\ndata: a\n\n",
    b"id: 2\r\ndata: b\r\n\r\n",
    b"id: 3\ndata: c\n\r\n",
    b"id: 4\r\ndata: d\r\n\n",
    b"id: 5\rdata: e\r\r",
)


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("by_byte", (False, True))
def test_event_is_complete_at_its_empty_line_however_lines_end(event, by_byte):
    # Events whose lines end in two ways were held back until the stream ended.
    splitter = EventSplitter()
    pieces = [bytes([byte]) for byte in event] if by_byte else [event]
    found = [item for piece in pieces for item in splitter.feed(piece)]
    rest = splitter.take_remainder()
    assert b"".join(data for data, _ in found) + rest == event
    assert [number for _, number in found] == [int(event[4:5])]
    assert not is_unfinished(rest)


def test_bytes_of_a_stream_are_unchanged():
    # Splitting must not lose, add or reorder a byte of what a target sent.
    stream = BYTE_ORDER_MARK + b"".join(EVENTS) + b": note\n\n" + b"id: 6\nd"
    for size in range(1, len(stream)):
        splitter = EventSplitter()
        parts = [stream[at : at + size] for at in range(0, len(stream), size)]
        found = [item for part in parts for item in splitter.feed(part)]
        rest = splitter.take_remainder()
        assert b"".join(data for data, _ in found) + rest == stream
        numbers = [number for _, number in found if number is not None]
        assert numbers == [1, 2, 3, 4, 5]
        assert splitter.events == 5
        assert is_unfinished(rest)


@pytest.mark.parametrize("line", (b"\n", b"\r\n", b"\r", b": note\n\n"))
@pytest.mark.parametrize("first", (b"", b"id: 1\n\n", b": no"))
def test_lines_that_say_nothing_are_taken_together(line, first):
    # One by one, they took an entry all its time.
    splitter = EventSplitter()
    data = first + 1000 * line
    found = splitter.feed(data)
    rest = splitter.take_remainder()
    assert b"".join(part for part, _ in found) + rest == data
    assert len(found) <= 3


def test_mark_is_dropped_where_a_stream_goes_on():
    # A byte order mark amid a stream would hide the id of the next event.
    splitter = EventSplitter(resumed=True)
    assert splitter.feed(BYTE_ORDER_MARK + EVENTS[0]) == [(EVENTS[0], 1)]


@pytest.mark.parametrize(
    "rest, unfinished",
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n", False),
        (b": note\n", False),
        (b": no", True),
        (b"i", True),
        (b"id: 2\n", True),
        (b"id: 2\ndata: b\n", True),
        (b": note\nid: 2\r\n", True),
    ],
)
def test_bytes_of_an_event_without_its_empty_line_are_unfinished(
    rest, unfinished
):
    # What follows the last event may be nothing of an event at all.
    assert is_unfinished(rest) is unfinished
