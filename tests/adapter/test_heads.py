"""Tests of what is read of the heads of targets' answers."""

import pytest

from chivepier.gateway.limits import InvalidBackoff
from chivepier.gateway.limits import InvalidLimit
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.limits import RequestedBackoff
from exchange import answer
from exchange import FULL
from exchange import ORDER
from exchange import read_all
from exchange import run
from exchange import send
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
def test_limit_is_read_of_an_answer(header, limit):
    async def script(head, writer):
        writer.write(answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert reply.facts.limit == limit
        assert reply.facts.unknown_headers == ()
        assert await read_all(reply) == b"ok"

    run(script, test)


NOON = b"Date: Thu, 03 Dec 2026 12:00:00 GMT\r\n"


@pytest.mark.parametrize(
    ("status", "header", "rest"),
    (
        (FULL, b"", NoBackoff()),
        (FULL, b"Retry-After: 3\r\n", RequestedBackoff(3.0)),
        (FULL, b"retry-after:  0.25 \r\n", RequestedBackoff(0.25)),
        (b"429 Busy", b"Retry-After: 2\r\n", RequestedBackoff(2.0)),
        (b"200 OK", b"Retry-After: 3\r\n", NoBackoff()),
        (b"421 Other", b"Retry-After: 3\r\n", NoBackoff()),
        (FULL, b"Retry-After: 0\r\n", NoBackoff()),
        (FULL, b"Retry-After: 1e9\r\n", RequestedBackoff(1e9)),
        (FULL, b"Retry-After: 1\r\nRetry-After: 4\r\n", RequestedBackoff(4.0)),
        (
            FULL,
            b"Retry-After: soon\r\nRetry-After: 4\r\n",
            RequestedBackoff(4.0),
        ),
        (FULL, b"Retry-After: -1\r\n", InvalidBackoff()),
        (FULL, b"Retry-After: nan\r\n", InvalidBackoff()),
        (FULL, b"Retry-After: inf\r\n", InvalidBackoff()),
        (FULL, b"Retry-After: soon\r\n", InvalidBackoff()),
        (FULL, b"Retry-After:\r\n", InvalidBackoff()),
        (
            FULL,
            NOON + b"Retry-After: Thu, 03 Dec 2026 12:00:05 GMT\r\n",
            RequestedBackoff(5.0),
        ),
        (
            FULL,
            NOON + b"Retry-After: Thu, 03 Dec 2026 11:00:00 GMT\r\n",
            NoBackoff(),
        ),
        (
            FULL,
            b"Retry-After: Thu, 03 Dec 2026 12:00:05 GMT\r\n",
            InvalidBackoff(),
        ),
    ),
)
def test_rest_is_read_of_a_refusal(status, header, rest):
    async def script(head, writer):
        writer.write(answer(b"", extra=header, status=status))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
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
def test_leaving_is_read_of_an_answer(header, leaving):
    async def script(head, writer):
        writer.write(answer(b"ok", extra=header))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert reply.facts.leaving is leaving
        assert await read_all(reply) == b"ok"

    run(script, test)


def test_header_that_nothing_reads_is_told_by_name():
    # Targets named a limit for months before anybody knew of it.
    async def script(head, writer):
        writer.write(answer(b"ok", extra=b"Server-Wish: 3\r\n"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert reply.facts.unknown_headers == ("Server-Wish",)

    run(script, test)
