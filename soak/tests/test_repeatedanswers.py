"""Tests of targets that send some of their answers twice."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.pressscenario import PressScenario
from soak.repeatingtarget import RepeatingTarget

PRESS_SECONDS = 6.0
CALLERS = 12


def press(folder, entries: int, targets: int, make_target) -> PressScenario:
    """Let callers press for some seconds, and return what was seen."""

    async def work(block: int) -> PressScenario:
        scenario = PressScenario(
            folder, block, 1, entries, targets, CALLERS, make_target
        )
        async with asyncio.timeout(60), scenario.run() as session:
            async with scenario.press(session):
                await asyncio.sleep(PRESS_SECONDS)
        return scenario

    with reserve_block() as block:
        return asyncio.run(work(block))


@pytest.mark.parametrize("targets", (1, 3))
@pytest.mark.parametrize("entries", (1, 7))
def test_repeated_refusal_is_not_taken_for_the_next_answer(
    entries, targets, tmp_path
):
    # Callers got 503 for requests that ran; others ran twice.
    scenario = press(tmp_path, entries, targets, RepeatingTarget)
    assert sum(target.repeated for target in scenario.targets) > 20
    assert scenario.checker.violations == []
    served = sum(reply.status == 200 for reply in scenario.replies)
    assert served > 100
