"""Tests of errors in the place of the rests of streams."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.events import make_event
from soak.invariantchecker import InvariantChecker
from soak.run import Soak
from soak.streamrecord import StreamRecord

FIRST = make_event(1, 1, "v1")
MIN_ERRORS = 5


def test_no_error_becomes_a_part_of_a_stream(tmp_path):
    # The text or the head of an error came in a stream, or ended it as whole.
    with reserve_block() as block:
        soak = Soak(30, tmp_path, block)
        soak.faults.keep_only("err_behind_cuts", "err_within", "err_on_rests")
        seen = asyncio.run(soak.run(8.0))
    assert seen.violations == []
    assert seen.answered > 50 and len(seen.erred) > MIN_ERRORS


@pytest.mark.parametrize(
    "rest",
    (
        b"upstream trouble",
        b"HTTP/1.1 502 Bad Gateway\r\n\r\n",
        b"event: error\ndata: trouble\n\n",
        b"id: 2\n: v1\ndata: trouble\n\n",
        b"id: 2\n: v1\ndata: end\n\n",
        make_event(2, 2, "v1")[:-2] + b"HTTP/1.1 500 \r\n\r\n",
        b"id: 1\n",
    ),
)
def test_foreign_bytes_in_a_stream_are_reported(rest):
    # Bytes that no target sent as events passed for a part of the stream.
    record = StreamRecord()
    for data in (FIRST, rest[:3], rest[3:]):
        record.feed(data)
    seen = InvariantChecker()
    seen.record_resumed("a", record)
    assert [text[:22] for text in seen.violations] == [
        "a holds foreign bytes "
    ]


def test_whole_stream_and_each_beginning_of_it_are_not_reported():
    record, seen = StreamRecord(), InvariantChecker()
    for place in range(1, 21):
        for byte in make_event(place, place, "v12"):
            record.feed(bytes((byte,)))
    record.end()
    seen.record_resumed("a", record)
    assert seen.violations == [] and record.has_end


def test_stream_told_whole_after_an_error_is_reported():
    # An error without a body ended a stream as if it were complete.
    record, seen = StreamRecord(), InvariantChecker(erred={"a-1"})
    record.begin_attempt("a-1")
    record.feed(FIRST)
    record.end()
    seen.record_resumed("a", record)
    assert "a was told whole too early after an error" in seen.violations
