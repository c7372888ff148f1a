"""Tests of the HTTP client for targets against scripted answers."""

import asyncio
import socket

import attrs
import pytest

from adapter.httptargetclient import HttpTargetClient
from adapter.targetconnection import MAX_CALLS
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import KvOrigin
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving import NotPermittedError
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving import SendOptions
from chivepier.gateway.serving import UnreachableError
from chivepier.gateway.targets import Liveness
from exchange import build_answer
from exchange import build_reply
from exchange import drop
from exchange import find_id
from exchange import move
from exchange import ONCE_OPTIONS
from exchange import OPTIONS
from exchange import read_all
from exchange import RecordingExchange
from exchange import reserve
from exchange import run
from exchange import send
from exchange import UNAVAILABLE
import rawtarget

NOT_RUN_LINE = b"X-Chivepier-Not-Run: 1\r\n"


def test_request_is_forwarded_with_internal_headers():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert (reply.status, await read_all(reply)) == (200, b"ok")
        lines = raw.requests[0].decode().split("\r\n")
        assert lines[0] == "GET /a/b?c=%20d HTTP/1.1"
        assert "Host: h.example" in lines
        assert "X-Chivepier-Expect-Instance: i1" in lines
        assert "X-Chivepier-Deadline-Ms: 1500" in lines
        assert "X-Chivepier-Tenant: t1" in lines
        assert "X-Chivepier-Request-Urgency: 2" in lines
        names = [line.partition(":")[0].lower() for line in lines]
        assert "user-agent" not in names and "accept" not in names

    run(script, test)


@pytest.mark.parametrize(
    "url", ("/c/x?", "/c/x?a=1?", "/c/x#y", "//c/x", "/c/../x?a=%2f", "/c;x?")
)
def test_path_and_query_are_forwarded_as_they_are(url):
    # Guards against an empty query that is lost: another request than sent.
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        request = attrs.evolve(rawtarget.make_request(), url=url)
        reply = await send(targets, raw.make_target(), request, OPTIONS)
        assert await read_all(reply) == b"ok"
        assert raw.requests[0].startswith(f"GET {url} HTTP/1.1".encode())

    run(script, test)


def test_probe_tells_whether_a_target_lives():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        assert await targets.probe(target) is Liveness.LIVES
        raw._server.close()
        assert await targets.probe(target) is Liveness.ENDED

    run(script, test)


def test_probe_detects_a_process_that_is_ending():
    # An ending process accepts one more connection and closes it at once. A
    # single probe would report it as alive, and the request would be resent.
    async def test():
        async def end(reader, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, "127.0.0.1", 0)
        raw = rawtarget.RawTarget(None)
        raw.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        async with HttpTargetClient() as targets:
            found = await targets.probe(raw.make_target())
        assert found is Liveness.ENDED

    asyncio.run(test())


def test_reset_answer_without_length_is_incomplete():
    # A reset was taken for the end of an answer without a length.
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Connection: close\r\n\r\npart"
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        rawtarget.reset(writer)

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_closed_answer_without_length_is_complete():
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Connection: close\r\n\r\nall"
        )
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert await read_all(reply) == b"all"

    run(script, test)


def test_answer_shorter_than_its_length_is_incomplete():
    async def script(head, writer):
        writer.write(build_answer(b"whole")[:-2])
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_unsolicited_answer_reaches_no_caller():
    # The next caller got a second copy of the previous caller's answer.
    released = asyncio.Event()

    async def script(head, writer):
        request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(build_answer(request_id, request_id))
        await writer.drain()
        if request_id == b"r1":
            await released.wait()
            writer.write(build_answer(b"again", b"r1"))
            await writer.drain()

    async def test(raw, targets):
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request("r1"), OPTIONS
        )
        assert await read_all(first) == b"r1"
        released.set()
        while not targets.has_unsolicited_data():
            await asyncio.sleep(0)
        second = await send(
            targets, target, rawtarget.make_request("r2"), OPTIONS
        )
        assert not second.facts.mismatched
        assert await read_all(second) == b"r2"
        assert raw.connections == 2

    run(script, test)


def test_answer_to_another_request_is_detected():
    async def script(head, writer):
        writer.write(build_answer(b"x", b"other"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.mismatched

    run(script, test)


def test_request_is_not_sent_twice_by_the_library():
    # The library resends a GET when a pooled connection breaks before the
    # answer, so a request that may run only once ran twice.
    async def script(head, writer):
        if b"r1" in head:
            writer.write(build_answer(b"ok"))
        else:
            writer.close()

    async def test(raw, targets):
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request("r1"), OPTIONS
        )
        await read_all(first)
        with pytest.raises(ConnectionLostError):
            await send(targets, target, rawtarget.make_request("x2"), OPTIONS)
        sent = [head for head in raw.requests if b"x2" in head]
        assert len(sent) == 1

    run(script, test)


def test_refused_connection_means_not_sent():
    async def script(head, writer):
        raise AssertionError("not reached")

    async def test(raw, targets):
        target = raw.make_target()
        await raw.__aexit__()
        with pytest.raises(NotSentError):
            await send(targets, target, rawtarget.make_request(), OPTIONS)

    run(script, test)


@pytest.mark.parametrize(
    "status, extra, not_run, other",
    [
        (503, b"X-Chivepier-Not-Run: 1\r\n", True, None),
        (503, b"", False, None),
        (421, b"X-Chivepier-Instance-Id: i2\r\n", False, "i2"),
        (500, b"", False, None),
    ],
)
def test_only_the_header_proves_that_a_request_did_not_run(
    status, extra, not_run, other
):
    async def script(head, writer):
        text = build_answer(b"", extra=extra).replace(
            b"200", b"%d" % status, 1
        )
        writer.write(text)

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        await read_all(reply)
        assert reply.facts.not_run is not_run
        assert reply.facts.other_instance == other

    run(script, test)


@pytest.mark.parametrize(
    "status, body, outcome, handle",
    [
        (200, b'{"handle":"h1","made":3}', MoveOutcome.COPIED, "h1"),
        (404, b"{}", MoveOutcome.NO_RUN, ""),
        (409, b"{}", MoveOutcome.BUSY, ""),
        (503, b'{"handle":"h2"}', MoveOutcome.NO_ROOM, "h2"),
        (200, b"not JSON", MoveOutcome.FAILED, ""),
    ],
)
def test_outcome_of_a_copy(status, body, outcome, handle):
    async def script(head, writer):
        text = build_reply(head, body).replace(b"200", b"%d" % status, 1)
        writer.write(text)

    async def test(raw, targets):
        target = raw.make_target()
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert (moved.outcome, moved.handle) == (outcome, handle)

    run(script, test)


def test_move_to_an_unreachable_target_is_not_sent():
    async def script(head, writer):
        raise AssertionError("not reached")

    async def test(raw, targets):
        target = raw.make_target()
        await raw.__aexit__()
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert moved.outcome is MoveOutcome.NOT_SENT

    run(script, test)


def test_move_whose_connection_breaks_has_failed():
    async def script(head, writer):
        writer.close()

    async def test(raw, targets):
        target = raw.make_target()
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert moved.outcome is MoveOutcome.FAILED

    run(script, test)


@pytest.mark.parametrize(
    "head, framed",
    [
        (b"Content-Length: 2\r\n\r\nok", True),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True),
        (b"Connection: close\r\n\r\nok", False),
    ],
)
def test_answer_tells_whether_its_body_is_framed(head, framed):
    async def script(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + head)
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert await read_all(reply) == b"ok"
        assert reply.facts.framed is framed

    run(script, test)


def test_generation_is_resumed_from_a_copy():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        options = SendOptions(
            seconds=1.0,
            origin=KvOrigin("10.0.0.1:80", "h1"),
            after_event="7",
        )
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), options
        )
        await read_all(reply)
        lines = raw.requests[0].decode().split("\r\n")
        assert "Kv-From: 10.0.0.1:80/h1" in lines
        assert "Last-Event-Id: 7" in lines
        assert not any(line.startswith("X-Chivepier-Kv-B") for line in lines)

    run(script, test)


@pytest.mark.parametrize(
    "status, body, handle",
    [
        (200, b'{"hold":"h1"}', "h1"),
        (200, b'{"hold":7}', "7"),
        (200, b"{}", None),
        (200, b"[]", None),
        (503, b"{}", None),
    ],
)
def test_outcome_of_a_reservation(status, body, handle):
    async def script(head, writer):
        text = build_reply(head, body).replace(b"200", b"%d" % status, 1)
        writer.write(text)

    async def test(raw, targets):
        target = raw.make_target()
        assert await reserve(targets, target, 100, 1.0) == handle
        assert raw.requests[0].startswith(b"POST /chivepier/hold-take ")

    run(script, test)


def test_reservation_at_an_unreachable_target_is_not_sent():
    async def script(head, writer):
        writer.close()

    async def test(raw, targets):
        with pytest.raises(NotSentError):
            await reserve(targets, raw.make_target(), 100, 1.0)

    run(script, test)


def test_unused_copy_is_freed_by_its_handle():
    async def script(head, writer):
        writer.write(build_reply(head, b"{}"))

    async def test(raw, targets):
        assert await drop(targets, raw.make_target(), "h1")
        head = raw.requests[0].decode().split("\r\n")[0]
        assert head == "DELETE /chivepier/kv-handle/h1 HTTP/1.1"

    run(script, test)


def test_unreachable_target_does_not_confirm_a_free():
    async def script(head, writer):
        writer.close()

    async def test(raw, targets):
        assert not await drop(targets, raw.make_target(), "h1")

    run(script, test)


def test_non_idempotent_request_avoids_long_idle_connections():
    # A request was lost on a connection that the target had dropped.
    async def script(head, writer):
        if len(raws[0].requests) == 1:
            writer.write(build_answer(b"ok"))
        elif raws[0].connections == 1:
            rawtarget.reset(writer)
        else:
            writer.write(build_reply(head, b"again"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request(), ONCE_OPTIONS
        )
        assert await read_all(first) == b"ok"
        await asyncio.sleep(0.3)
        second = await send(
            targets, target, rawtarget.make_request("r2"), ONCE_OPTIONS
        )
        assert await read_all(second) == b"again"

    run(script, test)


def test_retryable_request_reuses_an_idle_connection():
    async def script(head, writer):
        writer.write(build_reply(head, b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        for name in ("r1", "r2"):
            reply = await send(
                targets, target, rawtarget.make_request(name), OPTIONS
            )
            assert await read_all(reply) == b"ok"
            await asyncio.sleep(0.3)
        assert raw.connections == 1

    run(script, test)


def test_no_connection_carries_a_request_twice():
    # The late second copy of a refusal was taken for the answer to the next
    # send of the same request, which ran.
    refusal = build_answer(b"", extra=NOT_RUN_LINE, status=UNAVAILABLE)

    async def script(head, writer):
        if raws[0].connections == 1 and len(raws[0].requests) > 1:
            writer.write(refusal)
        if len(raws[0].requests) == 1:
            writer.write(refusal)
        else:
            writer.write(build_reply(head, b"ran"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        target, request = raw.make_target(), rawtarget.make_request()
        first = await send(targets, target, request, ONCE_OPTIONS)
        assert first.facts.not_run
        await read_all(first)
        second = await send(targets, target, request, ONCE_OPTIONS)
        assert not second.facts.not_run
        assert await read_all(second) == b"ran"
        assert raw.connections == 2

    run(script, test)


def test_connection_is_used_again_for_another_request():
    # A refusal must not cost a connection; its second copy names its request.
    refusal = build_answer(b"", extra=NOT_RUN_LINE, status=UNAVAILABLE)

    async def script(head, writer):
        if find_id(head) == b"r1":
            writer.write(refusal)
        else:
            writer.write(refusal + build_answer(b"ran", b"r2"))

    async def test(raw, targets):
        target = raw.make_target()
        for name in ("r1", "r2"):
            request = rawtarget.make_request(name)
            reply = await send(targets, target, request, ONCE_OPTIONS)
            await read_all(reply)
        assert raw.connections == 1
        assert reply.facts.mismatched

    run(script, test)


def test_connection_is_given_up_after_many_calls():
    async def script(head, writer):
        writer.write(build_reply(head, b"ok"))

    async def test(raw, targets):
        for number in range(MAX_CALLS + 1):
            request = rawtarget.make_request(f"r{number}")
            reply = await send(targets, raw.make_target(), request, OPTIONS)
            await read_all(reply)
        assert raw.connections == 2

    run(script, test)


def test_answer_that_names_no_request_is_not_the_requests():
    # A refusal that named nothing, such as one of the reservation before it,
    # was taken for that of a request that ran.
    async def script(head, writer):
        writer.write(
            build_answer(b"", b"", extra=NOT_RUN_LINE, status=UNAVAILABLE)
        )

    async def test(raw, targets):
        request = rawtarget.make_request()
        reply = await send(targets, raw.make_target(), request, ONCE_OPTIONS)
        assert reply.facts.mismatched

    run(script, test)


def test_answer_that_names_two_requests_is_neithers():
    async def script(head, writer):
        extra = b"X-Chivepier-Request-Id: r2\r\n"
        writer.write(build_reply(head, b"", extra + NOT_RUN_LINE))

    async def test(raw, targets):
        request = rawtarget.make_request()
        reply = await send(targets, raw.make_target(), request, ONCE_OPTIONS)
        assert reply.facts.mismatched

    run(script, test)


def test_answer_to_a_request_is_not_taken_for_that_to_a_call():
    # The late second answer to a stream told that another one was stopped.
    async def script(head, writer):
        writer.write(build_answer(b'{"handle": "h1", "hold": "h1"}', b"r1"))

    async def test(raw, targets):
        target = raw.make_target()
        result = await move(targets, target, "r2", target, True, 1.0)
        assert result == MoveResult(MoveOutcome.FAILED)
        with pytest.raises(NotSentError):
            await reserve(targets, target, 100, 1.0)
        assert not await drop(targets, target, "h1")

    run(script, test)


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


def test_generation_reuses_the_connection_of_its_reservation():
    # Separate connections would double the targets' cost of accepting them.
    async def script(head, writer):
        if head.startswith(b"POST /chivepier/hold-take"):
            await raws[0].reader.readuntil(b"}")
            writer.write(build_reply(head, b'{"hold": "h1"}'))
        else:
            writer.write(build_reply(head, b"ok"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        target = raw.make_target()
        assert await reserve(targets, target, 100, 1.0) == "h1"
        reply = await send(
            targets, target, rawtarget.make_request(), ONCE_OPTIONS
        )
        assert await read_all(reply) == b"ok"
        assert raw.connections == 1

    run(script, test)


def test_only_new_connections_show_that_a_target_is_in_reach():
    # An entry whose open connections live on through a cut took itself for
    # connected while every new connection failed.
    async def script(head, writer):
        writer.write(build_reply(head, b"ok"))

    async def test(raw, targets):
        seen = []
        for name in ("r1", "r2"):
            exchange = RecordingExchange()
            request = rawtarget.make_request(name)
            reply = await targets.send(
                raw.make_target(), request, ONCE_OPTIONS, exchange
            )
            await read_all(reply)
            seen.append(exchange.connections)
        assert seen == [1, 0]

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


def test_reservation_without_an_answer_does_not_count_as_out_of_reach():
    async def script(head, writer):
        await asyncio.sleep(1.0)

    async def test(raw, targets):
        with pytest.raises(NotSentError) as raised:
            await reserve(targets, raw.make_target(), 100, 1.0)
        assert not isinstance(raised.value, UnreachableError)

    run(script, test)


def test_no_user_timeout_decides_when_a_connection_to_a_target_ends():
    # A user timeout also decides when keep-alive probes give up, whatever
    # their count: a target's second of silence would end its connection.
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        await read_all(reply)
        (idle,) = targets._session.connector._conns.values()
        used = idle[0][0].transport.get_extra_info("socket")
        option = used.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert option == 0

    run(script, test)


def test_idle_connections_to_a_restarted_target_are_closed():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        for connections in (1, 2):
            reply = await send(
                targets, target, rawtarget.make_request(), OPTIONS
            )
            assert await read_all(reply) == b"ok"
            assert raw.connections == connections
            targets.hang_up(target)

    run(script, test)


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
