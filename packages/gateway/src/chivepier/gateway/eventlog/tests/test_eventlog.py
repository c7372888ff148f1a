"""Tests of the event log: bounded, and never waiting for its reader."""

import json
import os

from chivepier.gateway.eventlog import EventLog


def read_lines(descriptor: int) -> list[dict]:
    """Read what is in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_line_names_node_event_and_fields():
    reader, writer = os.pipe()
    EventLog("n1", writer).info("request_ended", id="r1", ms=3)
    (line,) = read_lines(reader)
    assert line["node"] == "n1" and line["event"] == "request_ended"
    assert (line["id"], line["ms"], line["level"]) == ("r1", 3, "info")


def test_fields_do_not_replace_reserved_keys():
    # A field called as the writer's name stood in its place.
    reader, writer = os.pipe()
    EventLog("n1", writer).info("seat_given", node="n2", t=5)
    (line,) = read_lines(reader)
    assert line["node"] == "n1" and line["node_"] == "n2"
    assert line["t"] != 5 and line["t_"] == 5


def test_stopped_reader_does_not_block_the_writer():
    # Every stream of the process stood still: the reader of standard output
    # had stopped, its pipe was full, and a write waited for it.
    reader, writer = os.pipe()
    log = EventLog("n1", writer)
    for number in range(20_000):
        log.warn(f"kind{number % 300}", text="x" * 100)
    assert log.buffered_bytes <= 400 << 10
    os.close(reader)
    log.info("after", text="nobody reads")
    assert log.buffered_bytes == 0


def test_resumed_reader_gets_the_remaining_lines():
    # No line came any more after the reader had paused once: the log was
    # full, left each new line out, and never tried to write again.
    reader, writer = os.pipe()
    log = EventLog("n1", writer)
    for number in range(20_000):
        log.warn(f"kind{number % 300}", text="x" * 100)
    while log.buffered_bytes:
        read_lines(reader)
        log.info("poke")
    log.info("last")
    assert read_lines(reader)[-1]["event"] == "last"


def test_events_beyond_the_rate_are_counted():
    reader, writer = os.pipe()
    log = EventLog("n1", writer, read_time=iter_time(1000 * [5.0] + [6.5]))
    for _ in range(1000):
        log.info("often")
    log.info("later")
    lines = read_lines(reader)
    often = [line for line in lines if line["event"] == "often"]
    (suppressed,) = [
        line for line in lines if line["event"] == "lines_left_out"
    ]
    assert len(often) + suppressed["often"] == 1000
    assert len(often) <= 100


def iter_time(times):
    """Return a clock that gives these times in turn."""
    moments = iter(times)
    return lambda: next(moments)
