"""Tests of all kinds of calls to targets."""

import socket

import pytest

from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.serving import NotPermittedError
from chivepier.gateway.serving import UnreachableError
from exchange import build_reply
from exchange import OPTIONS
from exchange import RecordingExchange
from exchange import run
from exchange import UNAVAILABLE
import rawtarget


@pytest.mark.parametrize("kind", ("reserve", "move", "drop"))
def test_calls_that_name_no_request_share_no_connection(kind):
    # The late second answer to one was taken for the answer to the next.
    async def script(head, writer):
        if head.startswith(b"POST"):
            await raws[0].reader.read(1 << 16)
        writer.write(build_reply(head, b"{}"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        for _ in range(2):
            call = CALLS[kind]
            await call(targets, raw.make_target(), RecordingExchange())
        assert raw.connections == 2

    run(script, test)


@pytest.mark.parametrize("kind", ("send_body", "reserve"))
def test_refused_connection_is_told_from_a_lost_answer(kind):
    async def test(raw, targets):
        target = raw.make_target()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            target.address = f"127.0.0.1:{unused.getsockname()[1]}"
            with pytest.raises(UnreachableError) as raised:
                await CALLS[kind](targets, target, RecordingExchange())
        assert not raised.value.hung

    run(None, test)


class ForbiddingExchange(RecordingExchange):
    """Refuses every request."""

    def begin(self) -> None:
        """Refuse the request."""
        raise NotPermittedError("not now")


CALLS = {
    "send": lambda targets, target, exchange: targets.send(
        target, rawtarget.make_request(), OPTIONS, exchange
    ),
    "send_body": lambda targets, target, exchange: targets.send(
        target,
        rawtarget.make_request(method="POST", body=b"x"),
        OPTIONS,
        exchange,
    ),
    "reserve": lambda targets, target, exchange: targets.reserve(
        target, 100, 1.0, exchange
    ),
    "move": lambda targets, target, exchange: targets.move(
        target, "r1", target, True, 1.0, exchange
    ),
    "drop": lambda targets, target, exchange: targets.drop(
        target, "h1", exchange
    ),
}


@pytest.mark.parametrize("kind", CALLS)
def test_nothing_is_sent_on_a_forbidden_exchange(kind):
    # Requests were sent on a decision made before the connection was
    # established, which no longer held.
    async def script(head, writer):
        writer.write(build_reply(head, b"{}"))

    async def test(raw, targets):
        target = raw.make_target()
        for _ in range(2):
            with pytest.raises(NotPermittedError):
                await CALLS[kind](targets, target, ForbiddingExchange())
        assert raw.requests == []
        await CALLS[kind](targets, target, RecordingExchange())
        # the unused connection is reused by the next call
        assert (len(raw.requests), raw.connections) == (1, 1)

    run(script, test)


class RevokingExchange(RecordingExchange):
    """Refuses every request right before it is written."""

    def confirm(self) -> None:
        """Refuse the request."""
        raise NotPermittedError("not any more")


@pytest.mark.parametrize("kind", ("send_body", "reserve", "move"))
def test_request_refused_before_its_first_byte_is_not_sent(kind):
    # Guards against requests that leave after a suspension of this process
    # between the check and the write.
    async def script(head, writer):
        writer.write(build_reply(head, b"{}"))

    async def test(raw, targets):
        target = raw.make_target()
        with pytest.raises(NotPermittedError):
            await CALLS[kind](targets, target, RevokingExchange())
        assert raw.requests == []
        await CALLS[kind](targets, target, RecordingExchange())
        assert len(raw.requests) == 1

    run(script, test)


@pytest.mark.parametrize("kind", CALLS)
def test_each_call_records_the_head_of_its_answer(kind):
    headers = b"Retry-After: 2\r\nServer-Leaving: 1\r\n"

    async def script(head, writer):
        writer.write(
            build_reply(head, b"{}", extra=headers, status=UNAVAILABLE)
        )

    async def test(raw, targets):
        exchange = RecordingExchange()
        await CALLS[kind](targets, raw.make_target(), exchange)
        (facts,) = exchange.heads
        assert (facts.backoff, facts.leaving) == (RequestedBackoff(2.0), True)

    run(script, test)
