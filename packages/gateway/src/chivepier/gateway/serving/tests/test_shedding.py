"""Tests of refusing requests near the limits of an instance."""

import asyncio
import random
from unittest import mock

import pytest

from chivepier.gateway.entry.usagewatch import UsageWatch
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import requesthandler
from chivepier.gateway.serving import RequestHandler
from chivepier.gateway.serving import Shedding
from chivepier.gateway.serving import Shortage
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.usage import Usage
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran


def play_usage(*usages, active=8) -> list[Shortage | None]:
    """Return the shortage after each of several measurements."""
    shedding, found = Shedding(random.Random(1)), []
    for usage in usages:
        shedding.update(usage, active)
        found.append(shedding.shortage)
    return found


@pytest.mark.parametrize("shortage", Shortage)
def test_refusing_ends_well_below_where_it_began(shortage):
    # Guards against an entry that refuses and accepts by turns.
    shares = (0.89, 0.9, 0.85, 0.8, 0.79, 0.89)
    found = play_usage(*(Usage(**{shortage.value: s}) for s in shares))
    assert found == [None, shortage, shortage, shortage, None, None]


def test_unknown_limits_refuse_nobody():
    # Guards against refusing where nothing is known, or by processor time.
    assert play_usage(Usage(), Usage(processor=9.0)) == [None, None]


def test_memory_that_the_interpreter_keeps_shuts_no_entry():
    # Guards against an entry that refuses everybody for memory that is free
    # inside of its process: half of the requests have ended.
    shedding = Shedding(random.Random(1))
    steps = ((0.93, 0), (0.93, 8), (0.93, 5), (0.93, 4), (0.935, 9), (0.95, 9))
    found = []
    for memory, active in steps:
        shedding.update(Usage(memory=memory), active)
        found.append(shedding.shortage is not None)
    assert found == [False, True, True, False, False, True]


def test_refused_request_has_not_run_and_streams_go_on():
    # Guards against a refusal that ran, and against cutting what runs.
    async def test(parts):
        caller, task, run = await begin(parts)
        shedding = Shedding(random.Random(1))
        meter = mock.Mock(**{"measure.return_value": Usage(memory=0.95)})
        dispatcher = parts.dispatcher
        watch = UsageWatch(
            meter, shedding, parts.serving, dispatcher.clock, dispatcher.log
        )
        watch.check()
        assert parts.read_lines("shedding")[0]["shortage"] == "memory"
        parts.serving = RequestHandler(
            parts.state, parts.planner, parts.dispatcher, Metrics(), shedding
        )
        delays = set()
        for _ in range(20):
            failure = await fail(parts, make_request("/plain/x", id="r2"))
            assert failure.kind is ErrorKind.OVERLOADED
            assert failure.ran is Ran.NO
            delays.add(failure.retry_after.total_seconds())
        assert len(delays) == 20 and max(delays) < 0.3
        assert len(parts.engines.orders) == 1
        assert len(parts.read_lines("request_shed")) == 20
        await finish(task, run, 1)
        assert caller.finished and caller.numbers == [1, 2, 3]

    play(test, "a")


def test_late_answer_reaches_a_caller_that_reads_slowly():
    # Guards against cutting an answer that is read after its deadline.
    async def test(parts):
        request = make_request("/plain/x", deadline=tell_time() + 2.0)
        caller, task = parts.start(request)
        write = caller.write

        async def write_slowly(data):
            await asyncio.sleep(1.5)
            await write(data)

        caller.write = write_slowly
        run = await parts.engines.wait_run(1)
        run.make(1, "x" * 300_000)
        await finish(task, run)
        assert caller.finished and len(caller.data) > 300_000

    play(test, "a")


def test_answer_that_its_caller_leaves_unread_is_dropped(monkeypatch):
    # Guards against memory that callers hold for as long as they like.
    monkeypatch.setattr(requesthandler, "UNREAD_SECONDS", 5.0)

    async def test(parts):
        request = make_request("/plain/x", deadline=tell_time() + 6.0)
        caller, task = parts.start(request)
        caller.write = lambda data: asyncio.Event().wait()
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert caller.aborted and parts.read_lines("answer_unread")

    play(test, "a")
