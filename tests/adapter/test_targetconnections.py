"""Tests of which connection to a target carries a request."""

import asyncio
import socket

import pytest

from adapter.targetconnection import MAX_CALLS
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import MoveResult
from chivepier.gateway.serving import NotSentError
from exchange import build_answer
from exchange import build_reply
from exchange import drop
from exchange import find_id
from exchange import move
from exchange import NOT_RUN_LINE
from exchange import ONCE_OPTIONS
from exchange import OPTIONS
from exchange import read_all
from exchange import RecordingExchange
from exchange import reserve
from exchange import run
from exchange import send
from exchange import UNAVAILABLE
import rawtarget


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
