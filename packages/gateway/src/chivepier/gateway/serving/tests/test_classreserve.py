"""Tests of the room that is kept free for more urgent generations."""

import attrs
from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.serving.classreserve import find_reserve
from chivepier.gateway.serving.classreserve import MAX_KEPT_SHARE
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.gateway.targets import ClassUsage
from chivepier.standins.loopclock import tell_time

RESERVING = attrs.evolve(ENGINE, reserve_seconds=2.0)
TOKENS = strategies.integers(min_value=1, max_value=400)


def make_usage(urgency: int, held: float, average: float, size: float):
    """Make what a class takes."""
    return ClassUsage(
        urgency=urgency, running=1, held=held, average=average, size=size
    )


def report_held(parts, urgency: int, held: int, runs: int = 1) -> None:
    """Report the room that a class holds at another entry."""
    record = QueueRecord("e2", "llm", urgency, 0, 0, runs, held)
    parts.queues.put(record, tell_time())


def fill(parts, tokens: int) -> None:
    """Report the room that less urgent generations hold at target ``a``."""
    parts.loads.adjust_own("a", tokens=tokens)
    report_held(parts, 5, tokens)


def test_long_generation_leaves_room_to_the_more_urgent_class():
    # A rush of long streams fills all memory for seconds; short requests
    # of a more urgent class then miss their objective.
    async def test(parts):
        fill(parts, 94_000)
        report_held(parts, 0, 6_000)
        caller, task = parts.start(make_request())
        await wait_until(lambda: parts.queues.count_ahead("llm", 9, 0.0))
        assert not parts.engines.orders
        parts.loads.adjust_own("a", tokens=-4_000)
        await finish(task, await parts.engines.wait_run(1), 1)

    play(test, "a", engine=RESERVING)


def test_service_of_one_class_uses_all_its_room():
    # What is kept for a class that doesn't exist is lost to the others.
    async def test(parts):
        fill(parts, 99_000)
        report_held(parts, 3, 50_000)
        caller, task, run = await begin(parts)
        await finish(task, run)

    play(test, "a", engine=RESERVING)


def test_held_room_follows_runs_to_their_end():
    # Room that stays counted after its generation would be kept for ever.
    async def test(parts):
        caller, task, run = await begin(parts)
        total, team = parts.queues.list_own()
        assert (total.rank, total.running, team.team) == (3, 1, "t1")
        assert total.held_tokens == team.held_tokens >= 356
        await finish(task, run)
        for record in parts.queues.list_own():
            assert (record.running, record.held_tokens) == (0, 0)

    play(test, "a", engine=RESERVING)


@given(
    strategies.lists(TOKENS, min_size=1, max_size=8),
    TOKENS,
    strategies.tuples(TOKENS, TOKENS, TOKENS),
    TOKENS,
)
def test_less_urgent_class_is_never_shut_out(free, tokens, urgent, held):
    # A steady rush of an urgent class would keep all others waiting for ever.
    memory = 400 * len(free)
    usages = [make_usage(0, *urgent), make_usage(2, held, held, tokens)]
    reserve = find_reserve(usages, 2, tokens, 400, len(free))
    rooms = {str(number): float(room) for number, room in enumerate(free)}
    if held + tokens <= (1 - MAX_KEPT_SHARE) * memory:
        assert reserve is None
    if reserve is not None:
        left = sum(free) - tokens
        kept = reserve.places * reserve.size
        assert not reserve.select(rooms, tokens) or left >= kept
        assert kept <= MAX_KEPT_SHARE * memory + reserve.size
