"""Tests of reservations, copies and moves at scripted targets."""

import asyncio

import pytest

from chivepier.gateway.serving import KvOrigin
from chivepier.gateway.serving import MoveOutcome
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.serving import SendOptions
from chivepier.gateway.serving import UnreachableError
from exchange import build_answer
from exchange import build_reply
from exchange import drop
from exchange import move
from exchange import read_all
from exchange import reserve
from exchange import run
from exchange import send
import rawtarget


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


@pytest.mark.parametrize("status", (b"000", b"099", b"600"))
def test_order_whose_answer_has_no_status_is_not_confirmed(status):
    # Status 000 was taken for a success, as it is below 300.
    async def script(head, writer):
        text = build_reply(head, b'{"hold":"h1","handle":"h1"}')
        writer.write(text.replace(b"200", status, 1))

    async def test(raw, targets):
        target = raw.make_target()
        assert not await drop(targets, target, "h1")
        moved = await move(targets, target, "r1", target, True, 2.0)
        assert moved.outcome is MoveOutcome.FAILED and not moved.handle
        with pytest.raises(NotSentError):
            await reserve(targets, target, 10, 1.0)

    run(script, test)


def test_reservation_without_an_answer_does_not_count_as_out_of_reach():
    async def script(head, writer):
        await asyncio.sleep(1.0)

    async def test(raw, targets):
        with pytest.raises(NotSentError) as raised:
            await reserve(targets, raw.make_target(), 100, 1.0)
        assert not isinstance(raised.value, UnreachableError)

    run(script, test)
