"""Tests of the event log's bounds and of its non-blocking writes."""

import json
import os

import logbook

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.eventlog import LibraryHandler


def read_lines(descriptor: int) -> list[dict]:
    """Read the lines available in a pipe."""
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
    # Guards against a field named like a reserved key replacing its value.
    reader, writer = os.pipe()
    EventLog("n1", writer).info("seat_given", node="n2", t=5)
    (line,) = read_lines(reader)
    assert line["node"] == "n1" and line["node_"] == "n2"
    assert line["t"] != 5 and line["t_"] == 5


def test_stopped_reader_does_not_block_the_writer():
    # Guards against a blocking write to the full pipe of a stopped reader,
    # which stalled every stream of the process.
    reader, writer = os.pipe()
    log = EventLog("n1", writer)
    for number in range(20_000):
        log.warn(f"kind{number % 300}", text="x" * 100)
    assert log.buffered_bytes <= 400 << 10
    os.close(reader)
    log.info("after", text="nobody reads")
    assert log.buffered_bytes == 0


def test_resumed_reader_gets_the_remaining_lines():
    # Guards against a log that never writes again after its reader paused:
    # with a full buffer it dropped each new line without flushing.
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
    """Return a clock that returns these times one after the other."""
    moments = iter(times)
    return lambda: next(moments)


def test_lines_of_the_replicated_log_are_written():
    # Guards against elections and stopped voters that leave no trace.
    reader, writer = os.pipe()
    with LibraryHandler(EventLog("n1", writer)).applicationbound():
        logbook.Logger("state").error("voter stops error={}", "full")
        logbook.Logger("wire").error("not of the replicated log")
    (line,) = read_lines(reader)
    assert line["level"] == "warn"
    assert line["text"] == "voter stops error=full"


def test_replaced_links_are_written():
    # Guards against links that went silent and leave no trace.
    reader, writer = os.pipe()
    with LibraryHandler(EventLog("n1", writer)).applicationbound():
        logbook.Logger("link").info("silent link replaced peer={}", "p")
    (line,) = read_lines(reader)
    assert line["event"] == "link_changed"
    assert line["text"] == "silent link replaced peer=p"
