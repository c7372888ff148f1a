"""Tests of refusing at once what can't start in time."""

import attrs
from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.serving.startestimate import StartEstimate
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)
AMOUNTS = strategies.floats(min_value=0.0, max_value=1e6)


def crowd(parts, free: int, known: bool = True) -> None:
    """Report a queue that takes 20 s, before a request that waits for 3."""
    parts.loads.adjust_own("a", tokens=100_000 - free)
    record = QueueRecord("e2", "llm", 3, 50, 200_000, 30, 100_000 - free)
    parts.queues.put(record, tell_time())
    for _ in range(8 if known else 7):
        parts.dispatcher.runs.holds.record("llm", 3_000, 10.0, tell_time())


def test_request_that_can_not_start_in_time_is_refused_at_once():
    """Requests were held for three objectives, and refused at their end."""

    async def test(parts):
        crowd(parts, free=100)
        began = tell_time()
        failure = await fail(parts, make_request())
        assert failure.kind is ErrorKind.NO_TARGET and failure.ran is Ran.NO
        assert tell_time() == began and not parts.engines.reserve_attempts
        assert 3.0 < failure.retry_after.total_seconds() <= 20.0 / 3
        (line,) = parts.read_lines("refused_early")
        assert line["expected_ms"] > 20_000 and line["ahead_tokens"] == 200_000

    play(test, "a", engine=RESERVING)


def test_unsure_estimate_admits():
    """A rate of few generations refused what could have been served."""

    async def test(parts):
        crowd(parts, free=100, known=False)
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.count_ahead("llm", 4, 0.0) > 50)
        parts.loads.adjust_own("a", tokens=-400)
        await finish(task, await parts.engines.wait_run(1), 1)

    play(test, "a", engine=RESERVING)


def test_nothing_is_refused_while_room_stands_free():
    """A queue that other entries reported too late refused new requests."""

    async def test(parts):
        crowd(parts, free=1_000)
        parts.engines.full = {"a"}
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.count_ahead("llm", 4, 0.0) > 50)
        parts.engines.full = set()
        await finish(task, await parts.engines.wait_run(1), 1)

    play(test, "a", engine=RESERVING)


@given(AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS, strategies.floats(1.0, 1e5))
def test_who_comes_later_is_not_told_to_come_back_sooner(
    ahead, joined, free, seconds, rate
):
    """Callers who came back as told met those who came after them."""
    first = StartEstimate(tokens=100, ahead=ahead, free=free, rate=rate)
    drained = rate * seconds
    later = max(0.0, ahead - free - drained) + joined
    second = StartEstimate(tokens=100, ahead=later, free=0.0, rate=rate)
    told = seconds + second.drain_seconds
    assert told >= first.drain_seconds - 1e-6 * (1.0 + told)
