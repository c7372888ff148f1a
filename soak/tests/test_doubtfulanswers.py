"""Tests of targets that refuse requests and spoil some of their answers."""

import asyncio
import signal

import pytest

from soak.answerfaults import AnswerFault
from soak.blocks import reserve_block
from soak.doubtfultarget import DoubtfulTarget
from soak.pressscenario import PressScenario

PRESS_SECONDS = 5.0
CALLERS = 12
REPEATABLE_SHARE = 0.25
# Range of the seconds for which an entry stands still, and between two times.
STILL_SECONDS = (0.02, 0.4)
PAUSE_SECONDS = (0.1, 0.6)


async def freeze_entries(scenario: PressScenario) -> None:
    """Let one entry after the other stand still, until cancelled."""
    while True:
        entry = scenario.rng.choice(scenario.entries)
        entry.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(scenario.rng.uniform(*STILL_SECONDS))
        finally:
            entry.signal(signal.SIGCONT)
        await asyncio.sleep(scenario.rng.uniform(*PAUSE_SECONDS))


def press(
    folder, entries: int, targets: int, *kinds: AnswerFault, seed: int = 1
) -> PressScenario:
    """Let callers press for some seconds, and return what was seen."""

    async def work(block: int) -> PressScenario:
        scenario = PressScenario(
            folder, block, seed, entries, targets, CALLERS, DoubtfulTarget
        )
        scenario.repeatable_share = REPEATABLE_SHARE
        async with asyncio.timeout(60), scenario.run() as session:
            for target in scenario.targets:
                target.answer_faults.kinds = kinds
            freezing = asyncio.create_task(freeze_entries(scenario))
            async with scenario.press(session):
                await asyncio.sleep(PRESS_SECONDS)
            freezing.cancel()
        return scenario

    with reserve_block() as block:
        return asyncio.run(work(block))


def check_answers(scenario: PressScenario) -> None:
    """Check what callers got against what ran."""
    spoiled = sum(t.answer_faults.spoiled for t in scenario.targets)
    assert spoiled > 10
    assert scenario.checker.violations == []
    assert scenario.count_replies(200) > 50


@pytest.mark.parametrize("targets", (1, 3))
@pytest.mark.parametrize("entries", (1, 7))
def test_repeated_refusal_is_not_taken_for_the_next_answer(
    entries, targets, tmp_path
):
    # Callers got 503 for requests that ran; others ran twice.
    kinds = (AnswerFault.REPEATED, AnswerFault.LATE)
    check_answers(press(tmp_path, entries, targets, *kinds))


def test_full_targets_leave_no_doubt(tmp_path):
    # Guards against outcomes that are told as unknown where all are known.
    scenario = press(tmp_path, 7, 3)
    assert scenario.checker.violations == []
    statuses = {reply.status for reply in scenario.replies}
    assert statuses <= {200, 429, 503}
    assert scenario.count_replies(200) > 50


@pytest.mark.parametrize("kind", AnswerFault)
def test_faulty_answer_leads_to_no_false_promise(kind, tmp_path):
    # Guards each kind by itself against a second run and a false refusal.
    check_answers(press(tmp_path, 3, 1, kind))


@pytest.mark.parametrize("entries,targets", ((1, 1), (3, 3), (7, 40)))
def test_faulty_answers_together_lead_to_no_false_promise(
    entries, targets, tmp_path
):
    # Guards against kinds that only do harm one after the other.
    check_answers(press(tmp_path, entries, targets, *AnswerFault))
