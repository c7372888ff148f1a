"""Tests of the protocol towards targets, against scripted bytes."""

import asyncio

import pytest

from adapter.targets import Targets
from chivepier.gateway.limits import RequestedBackoff
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import KvOrigin
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import NotPermittedError
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving import SendOptions
from chivepier.gateway.targets import Liveness
from exchange import answer
from exchange import drop
from exchange import Free
from exchange import FULL
from exchange import move
from exchange import ONCE
from exchange import ORDER
from exchange import read_all
from exchange import reserve
from exchange import run
from exchange import send
import rawtarget


def test_request_is_passed_on_with_what_the_system_adds():
    async def script(head, writer):
        writer.write(answer(b"ok"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
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


def test_look_at_a_target_tells_whether_it_lives():
    async def script(head, writer):
        writer.write(answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        assert await targets.probe(target) is Liveness.LIVES
        raw._server.close()
        assert await targets.probe(target) is Liveness.ENDED

    run(script, test)


def test_process_that_ends_while_it_is_looked_at_has_ended():
    # It took one more connection as it ended, and that one ended at once. A
    # single look would say that it lives, and the request be sent on.
    async def test():
        async def end(reader, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, "127.0.0.1", 0)
        raw = rawtarget.RawTarget(None)
        raw.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        async with Targets() as targets:
            found = await targets.probe(raw.make_target())
        assert found is Liveness.ENDED

    asyncio.run(test())


def test_answer_without_length_that_is_reset_is_not_whole():
    # A reset passed for the end of an answer that names no length.
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
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_answer_without_length_that_is_closed_is_whole():
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Connection: close\r\n\r\nall"
        )
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert await read_all(reply) == b"all"

    run(script, test)


def test_short_answer_is_not_whole():
    async def script(head, writer):
        writer.write(answer(b"whole")[:-2])
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_second_answer_on_a_kept_connection_reaches_nobody():
    # The next caller got the last one's answer a second time.
    released = asyncio.Event()

    async def script(head, writer):
        identity = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(answer(identity, identity))
        await writer.drain()
        if identity == b"r1":
            await released.wait()
            writer.write(answer(b"again", b"r1"))
            await writer.drain()

    async def test(raw, targets):
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request("r1"), ORDER
        )
        assert await read_all(first) == b"r1"
        released.set()
        while not targets.holds_surplus():
            await asyncio.sleep(0)
        second = await send(
            targets, target, rawtarget.make_request("r2"), ORDER
        )
        assert not second.facts.mismatched
        assert await read_all(second) == b"r2"
        assert raw.connections == 2

    run(script, test)


def test_answer_to_another_request_is_told():
    async def script(head, writer):
        writer.write(answer(b"x", b"other"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert reply.facts.mismatched

    run(script, test)


def test_request_is_not_sent_twice_by_the_library():
    # A request that may run once ran twice: the library repeats a GET by
    # itself when a kept connection breaks before the answer.
    async def script(head, writer):
        if b"r1" in head:
            writer.write(answer(b"ok"))
        else:
            writer.close()

    async def test(raw, targets):
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request("r1"), ORDER
        )
        await read_all(first)
        with pytest.raises(ConnectionLostError):
            await send(targets, target, rawtarget.make_request("x2"), ORDER)
        sent = [head for head in raw.requests if b"x2" in head]
        assert len(sent) == 1

    run(script, test)


def test_refused_connection_proves_that_nothing_was_sent():
    async def script(head, writer):
        raise AssertionError("not reached")

    async def test(raw, targets):
        target = raw.make_target()
        await raw.__aexit__()
        with pytest.raises(NotSentError):
            await send(targets, target, rawtarget.make_request(), ORDER)

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
def test_only_the_target_itself_proves_that_it_did_not_run(
    status, extra, not_run, other
):
    async def script(head, writer):
        text = answer(b"", extra=extra).replace(b"200", b"%d" % status, 1)
        writer.write(text)

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
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
        text = answer(body).replace(b"200", b"%d" % status, 1)
        writer.write(text)

    async def test(raw, targets):
        target = raw.make_target()
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert (moved.outcome, moved.handle) == (outcome, handle)

    run(script, test)


def test_order_to_a_target_that_is_gone_was_not_sent():
    async def script(head, writer):
        raise AssertionError("not reached")

    async def test(raw, targets):
        target = raw.make_target()
        await raw.__aexit__()
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert moved.outcome is MoveOutcome.NOT_SENT

    run(script, test)


def test_order_whose_connection_breaks_may_have_been_obeyed():
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
def test_answer_tells_whether_its_end_has_a_frame(head, framed):
    async def script(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + head)
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), ORDER
        )
        assert await read_all(reply) == b"ok"
        assert reply.framed is framed

    run(script, test)


def test_generation_goes_on_from_a_copy():
    async def script(head, writer):
        writer.write(answer(b"ok"))

    async def test(raw, targets):
        order = SendOptions(
            seconds=1.0,
            origin=KvOrigin("10.0.0.1:80", "h1"),
            after_event="7",
        )
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), order
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
        text = answer(body).replace(b"200", b"%d" % status, 1)
        writer.write(text)

    async def test(raw, targets):
        target = raw.make_target()
        assert await reserve(targets, target, 100, 1.0) == handle
        assert raw.requests[0].startswith(b"POST /chivepier/hold-take ")

    run(script, test)


def test_reservation_at_a_target_that_is_gone():
    async def script(head, writer):
        writer.close()

    async def test(raw, targets):
        with pytest.raises(NotSentError):
            await reserve(targets, raw.make_target(), 100, 1.0)

    run(script, test)


def test_copy_that_is_not_used_is_freed_by_its_name():
    async def script(head, writer):
        writer.write(answer(b"{}"))

    async def test(raw, targets):
        assert await drop(targets, raw.make_target(), "h1")
        head = raw.requests[0].decode().split("\r\n")[0]
        assert head == "DELETE /chivepier/kv-handle/h1 HTTP/1.1"

    run(script, test)


def test_target_that_is_gone_frees_nothing():
    async def script(head, writer):
        writer.close()

    async def test(raw, targets):
        assert not await drop(targets, raw.make_target(), "h1")

    run(script, test)


def test_request_that_may_run_once_is_not_lost_with_a_rested_connection():
    # A call was lost with a connection that its target had dropped.
    async def script(head, writer):
        if len(raws[0].requests) == 1:
            writer.write(answer(b"ok"))
        elif raws[0].connections == 1:
            rawtarget.reset(writer)
        else:
            writer.write(answer(b"again"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        target = raw.make_target()
        first = await send(targets, target, rawtarget.make_request(), ONCE)
        assert await read_all(first) == b"ok"
        await asyncio.sleep(0.3)
        second = await send(targets, target, rawtarget.make_request(), ONCE)
        assert await read_all(second) == b"again"

    run(script, test)


def test_request_that_may_run_again_keeps_its_rested_connection():
    async def script(head, writer):
        writer.write(answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        for _ in range(2):
            reply = await send(
                targets, target, rawtarget.make_request(), ORDER
            )
            assert await read_all(reply) == b"ok"
            await asyncio.sleep(0.3)
        assert raw.connections == 1

    run(script, test)


def test_generation_goes_on_the_connection_of_its_reservation():
    # A connection for each would double what targets spend on new ones.
    async def script(head, writer):
        if head.startswith(b"POST /chivepier/hold-take"):
            await raws[0].reader.readuntil(b"}")
            writer.write(answer(b'{"hold": "h1"}'))
        else:
            writer.write(answer(b"ok"))

    raws = []

    async def test(raw, targets):
        raws.append(raw)
        target = raw.make_target()
        assert await reserve(targets, target, 100, 1.0) == "h1"
        reply = await send(targets, target, rawtarget.make_request(), ONCE)
        assert await read_all(reply) == b"ok"
        assert raw.connections == 1

    run(script, test)


def test_idle_connections_to_a_target_that_started_again_are_ended():
    async def script(head, writer):
        writer.write(answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        for connections in (1, 2):
            reply = await send(
                targets, target, rawtarget.make_request(), ORDER
            )
            assert await read_all(reply) == b"ok"
            assert raw.connections == connections
            targets.hang_up(target)

    run(script, test)


class Forbidden(Free):
    """A contact that must not begin."""

    def begin(self) -> None:
        """Refuse."""
        raise NotPermittedError("not now")


CALLS = {
    "send": lambda targets, target, contact: targets.send(
        target, rawtarget.make_request(), ORDER, contact
    ),
    "reserve": lambda targets, target, contact: targets.reserve(
        target, 100, 1.0, contact
    ),
    "move": lambda targets, target, contact: targets.move(
        target, "r1", target, True, 1.0, contact
    ),
    "drop": lambda targets, target, contact: targets.drop(
        target, "h1", contact
    ),
}


@pytest.mark.parametrize("kind", CALLS)
def test_nothing_is_sent_on_a_contact_that_must_not_begin(kind):
    # What was decided before a connection stood went out after it.
    async def script(head, writer):
        writer.write(answer(b"{}"))

    async def test(raw, targets):
        target = raw.make_target()
        for _ in range(2):
            with pytest.raises(NotPermittedError):
                await CALLS[kind](targets, target, Forbidden())
        assert raw.requests == []
        await CALLS[kind](targets, target, Free())
        # the connection that stood for nothing serves the next call
        assert (len(raw.requests), raw.connections) == (1, 1)

    run(script, test)


@pytest.mark.parametrize("kind", CALLS)
def test_each_call_hears_what_its_answer_says(kind):
    words = b"Retry-After: 2\r\nServer-Leaving: 1\r\n"

    async def script(head, writer):
        writer.write(answer(b"{}", extra=words, status=FULL))

    async def test(raw, targets):
        contact = Free()
        await CALLS[kind](targets, raw.make_target(), contact)
        (facts,) = contact.heard
        assert (facts.backoff, facts.leaving) == (RequestedBackoff(2.0), True)

    run(script, test)
