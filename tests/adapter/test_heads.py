"""Tests of parsing the heads of targets' answers."""

import attrs
import pytest

from chivepier.gateway.limits import InvalidBackoff
from chivepier.gateway.limits import InvalidLimit
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.targets import InvalidReport
from exchange import build_answer
from exchange import OPTIONS
from exchange import read_all
from exchange import run
from exchange import send
from exchange import UNAVAILABLE
import rawtarget


@pytest.mark.parametrize(
    ("header", "limit"),
    (
        (b"", NoLimit()),
        (b"Server-Limit: 1.5\r\n", RateLimit(1.5)),
        (b"server-limit:  0\r\n", RateLimit(0.0)),
        (b"Server-Limit: 1e9\r\n", RateLimit(1e9)),
        (b"Server-Limit: 3\r\nServer-Limit: 2\r\n", RateLimit(2.0)),
        (b"Server-Limit: 3, 2\r\n", RateLimit(2.0)),
        (b"Server-Limit: -1\r\n", InvalidLimit()),
        (b"Server-Limit: nan\r\n", InvalidLimit()),
        (b"Server-Limit: inf\r\n", InvalidLimit()),
        (b"Server-Limit: few\r\n", InvalidLimit()),
        (b"Server-Limit:\r\n", InvalidLimit()),
    ),
)
def test_rate_limit_is_parsed(header, limit):
    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.limit == limit
        assert reply.facts.unknown_headers == ()
        assert await read_all(reply) == b"ok"

    run(script, test)


DATE_HEADER = b"Date: Thu, 03 Dec 2026 12:00:00 GMT\r\n"


@pytest.mark.parametrize(
    ("status", "header", "rest"),
    (
        (UNAVAILABLE, b"", NoBackoff()),
        (UNAVAILABLE, b"Retry-After: 3\r\n", RequestedBackoff(3.0)),
        (UNAVAILABLE, b"retry-after:  0.25 \r\n", RequestedBackoff(0.25)),
        (b"429 Busy", b"Retry-After: 2\r\n", RequestedBackoff(2.0)),
        (b"200 OK", b"Retry-After: 3\r\n", NoBackoff()),
        (b"421 Other", b"Retry-After: 3\r\n", NoBackoff()),
        (UNAVAILABLE, b"Retry-After: 0\r\n", NoBackoff()),
        (UNAVAILABLE, b"Retry-After: 1e9\r\n", RequestedBackoff(1e9)),
        (
            UNAVAILABLE,
            b"Retry-After: 1\r\nRetry-After: 4\r\n",
            RequestedBackoff(4.0),
        ),
        (
            UNAVAILABLE,
            b"Retry-After: soon\r\nRetry-After: 4\r\n",
            RequestedBackoff(4.0),
        ),
        (UNAVAILABLE, b"Retry-After: -1\r\n", InvalidBackoff()),
        (UNAVAILABLE, b"Retry-After: nan\r\n", InvalidBackoff()),
        (UNAVAILABLE, b"Retry-After: inf\r\n", InvalidBackoff()),
        (UNAVAILABLE, b"Retry-After: soon\r\n", InvalidBackoff()),
        (UNAVAILABLE, b"Retry-After:\r\n", InvalidBackoff()),
        (
            UNAVAILABLE,
            DATE_HEADER + b"Retry-After: Thu, 03 Dec 2026 12:00:05 GMT\r\n",
            RequestedBackoff(5.0),
        ),
        (
            UNAVAILABLE,
            DATE_HEADER + b"Retry-After: Thu, 03 Dec 2026 11:00:00 GMT\r\n",
            NoBackoff(),
        ),
        (
            UNAVAILABLE,
            b"Retry-After: Thu, 03 Dec 2026 12:00:05 GMT\r\n",
            InvalidBackoff(),
        ),
    ),
)
def test_backoff_is_parsed(status, header, rest):
    async def script(head, writer):
        writer.write(build_answer(b"", extra=header, status=status))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.backoff == rest
        assert reply.facts.unknown_headers == ()

    run(script, test)


@pytest.mark.parametrize(
    ("header", "leaving"),
    (
        (b"", False),
        (b"Server-Leaving: 1\r\n", True),
        (b"server-leaving:  1 \r\n", True),
        (b"Server-Leaving: 0\r\n", False),
        (b"Server-Leaving:\r\n", False),
    ),
)
def test_leaving_header_is_parsed(header, leaving):
    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.leaving is leaving
        assert await read_all(reply) == b"ok"

    run(script, test)


@pytest.mark.parametrize(
    ("text", "figures"),
    (
        ("2,0,6", (2, 0, 6, None)),
        (" 2, 31 ,6 , 250 ", (2, 31, 6, 2.5)),
        ("0,0,1,10000", (0, 0, 1, 100.0)),
        *(
            (text, None)
            for text in ("", "2,0", "2,0,6,100,1", "2,0,0,100", "-1,0,6")
        ),
        *((f"2,0,6,{pace}", None) for pace in ("0", "10001", "1.5", "nan")),
        *((f"{count},0,6", None) for count in ("1000001", "9" * 5000, "²")),
        ("2,0,6\r\nX-Chivepier-Server-Load: 2,0,6", None),
    ),
)
def test_reported_load_is_parsed(text, figures):
    """Guards against a malformed load that ends an answer, or counts."""
    header = f"X-Chivepier-Server-Load: {text}\r\n".encode()

    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        load = reply.facts.load
        if figures is None:
            assert load == InvalidReport()
        else:
            assert attrs.astuple(load) == figures
        assert reply.facts.unknown_headers == ()
        assert await read_all(reply) == b"ok"

    run(script, test)


def test_unknown_header_is_reported_by_name():
    # Targets sent a rate limit for months in a header that nothing parsed.
    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=b"Server-Wish: 3\r\n"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.unknown_headers == ("Server-Wish",)

    run(script, test)


@pytest.mark.parametrize(
    ("header", "refusals"),
    (
        (b"", None),
        (b"Server-Brittle: 3\r\n", 3.0),
        (b"server-brittle: 5, 2\r\n", 2.0),
        (b"Server-Brittle: soon\r\n", 1.0),
        (b"Server-Brittle: -4\r\n", 1.0),
        (b"Server-Brittle: 0\r\n", 0.0),
    ),
)
def test_bearable_refusals_are_parsed(header, refusals):
    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.max_refusals == refusals
        assert reply.facts.unknown_headers == ()
        assert await read_all(reply) == b"ok"

    run(script, test)


@pytest.mark.parametrize(
    ("method", "status", "framed"),
    (
        ("HEAD", b"200 OK", True),
        ("HEAD", b"404 Not Found", True),
        ("GET", b"304 Not Modified", True),
        ("GET", b"204 No Content", True),
        ("GET", b"200 OK", False),
        ("GET", b"404 Not Found", False),
    ),
)
def test_answer_that_has_no_body_tells_its_end(method, status, framed):
    # Its target was asked for its word, and the answer lost without it.
    async def script(head, writer):
        answer = build_answer(b"", status=status)
        writer.write(answer.replace(b"Content-Length: 0\r\n", b""))
        writer.close()

    async def test(raw, targets):
        request = rawtarget.make_request(method=method)
        reply = await send(targets, raw.make_target(), request, OPTIONS)
        assert reply.facts.framed is framed
        assert await read_all(reply) == b""

    run(script, test)


@pytest.mark.parametrize(
    ("header", "signed", "may_be_events", "coded"),
    (
        (b"", False, True, False),
        (b"x-chivepier-server-stamp: s1\r\n", True, True, False),
        (b"Content-Type: text/event-stream\r\n", False, True, False),
        (b"Content-Type: application/json\r\n", False, False, False),
        (b"Content-Encoding: gzip\r\n", False, True, True),
        (b"Content-Encoding: identity\r\n", False, True, False),
    ),
)
def test_head_tells_who_sent_what_kind_of_body(
    header, signed, may_be_events, coded
):
    # An error under a status of success was taken for the rest of a stream.
    async def script(head, writer):
        writer.write(build_answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.signed is signed
        assert targets.is_signed(reply.headers) is signed
        assert reply.facts.may_be_events is may_be_events
        assert reply.facts.coded is coded

    run(script, test)
