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


def check_answers(scenario: PressScenario) -> None:
    """Check what callers got against what ran."""
    assert sum(target.repeated for target in scenario.targets) > 20
    assert scenario.checker.violations == []
    served = sum(reply.status == 200 for reply in scenario.replies)
    assert served > 100


class UnnamedRepeatingTarget(RepeatingTarget):
    """Sends second answers that name no request."""

    names_requests = False


@pytest.mark.parametrize("targets", (1, 3))
@pytest.mark.parametrize("entries", (1, 7))
def test_repeated_refusal_is_not_taken_for_the_next_answer(
    entries, targets, tmp_path
):
    # Callers got 503 for requests that ran; others ran twice.
    check_answers(press(tmp_path, entries, targets, RepeatingTarget))


def test_repeated_refusal_without_an_id_is_nobodys(tmp_path):
    # A copy that named no request was taken for the answer to any.
    check_answers(press(tmp_path, 7, 1, UnnamedRepeatingTarget))
