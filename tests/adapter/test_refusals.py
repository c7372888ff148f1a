"""Tests of what callers are told of requests that may have run."""

import pytest

from entryfixture import build_request
from entryfixture import IDEMPOTENT_ROUTE
from entryfixture import read_status
from entryfixture import run
from exchange import build_reply

PROMISES = (b"408 Request Timeout", b"429 Too Many", b"503 Unavailable")


@pytest.mark.parametrize("path", ("/once/x", "/stream/x"))
@pytest.mark.parametrize("status", PROMISES)
def test_status_alone_does_not_tell_that_a_request_has_not_run(status, path):
    # A target ran a request and answered 503 without saying "not run". The
    # caller took the status for that promise.
    async def script(head, writer):
        stamp = b"X-Chivepier-Server-Stamp: s1\r\n"
        writer.write(build_reply(head, b"", stamp, status))

    async def test(fixture):
        answer = await fixture.send(build_request(path))
        assert read_status(answer) == 502
        # a changed status must not bear the target's signature
        assert b"X-Chivepier-Server-Stamp" not in answer
        assert len(fixture.raw.requests) == 1

    run(script, test)


@pytest.mark.parametrize("status", PROMISES)
def test_status_of_an_idempotent_request_is_forwarded(status):
    async def script(head, writer):
        writer.write(build_reply(head, b"", status=status))

    async def test(fixture):
        fixture.configure(version=8, routes=[IDEMPOTENT_ROUTE])
        answer = await fixture.send(build_request("/again/x"))
        assert read_status(answer) == int(status.split()[0])

    run(script, test)


def test_stated_refusal_is_a_promise():
    async def script(head, writer):
        stated = b"X-Chivepier-Not-Run: 1\r\n"
        writer.write(build_reply(head, b"", stated, b"503 Unavailable"))

    async def test(fixture):
        answer = await fixture.send(build_request("/once/x"))
        assert read_status(answer) == 503
        assert b"Retry-After" in answer

    run(script, test)
