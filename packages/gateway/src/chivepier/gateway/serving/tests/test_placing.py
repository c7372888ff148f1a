"""Tests of reserving room before a request is sent."""

import attrs

from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)


async def serve_one(parts, **changes):
    """Serve a stream of one event, and return the order it was sent by."""
    caller, task = parts.start(make_request(**changes))
    answer = await parts.engines.wait_run(1)
    answer.make()
    answer.end()
    await task
    assert caller.finished
    return parts.engines.orders[-1]


def test_request_goes_where_room_was_reserved():
    # Requests waited at a full target though another one had room: loads
    # are known with a delay. A full target says so at once.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        name, order = await serve_one(parts)
        assert (name, order.reservation) == ("c", "hold-c")
        assert parts.engines.reserved == [("c", 100 + 450)]

    play(test, "a", "b", "c", engine=RESERVING)


def test_target_that_can_not_be_asked_is_passed_over():
    async def test(parts):
        parts.engines.dark = {"a"}
        name, order = await serve_one(parts)
        assert (name, order.reservation) == ("b", "hold-b")

    play(test, "a", "b", engine=RESERVING)


def test_without_room_anywhere_the_request_waits_at_a_target():
    # Half of the objective is spent on looking for room; then the request
    # is sent all the same, and waits in a target's own queue.
    async def test(parts):
        parts.engines.full = {"a", "b"}
        arrived = make_request().arrived - 0.5
        name, order = await serve_one(parts, arrived=arrived)
        assert name in ("a", "b") and order.reservation is None

    play(test, "a", "b", engine=RESERVING)


def test_targets_that_can_not_reserve_are_not_asked():
    async def test(parts):
        _, order = await serve_one(parts)
        assert order.reservation is None and not parts.engines.reserved

    play(test, "a", "b")
