"""Tests of backoff and leaving signals that only answers carry."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.signalchecker import SignalChecker
from soak.trafficscenario import TrafficScenario

REST_SECONDS = 3.0
# Callers per entry, and seconds between two requests of a caller: so few that
# the failure rate excludes a target only after more than half a second.
CALLERS = 2
PAUSE_SECONDS = 0.3
# Seconds for which targets send the signals.
FULL_SECONDS = 7.0


def run_scenario(folder, entries: int, work) -> TrafficScenario:
    """Run real processes and callers during a test's coroutine.

    :param folder: directory for settings, data and logs
    :param entries: number of entries
    :param work: coroutine function of the test, called with the targets
    """

    async def run(block: int) -> TrafficScenario:
        callers = CALLERS * entries
        scenario = TrafficScenario(
            folder, block, 1, entries, callers, PAUSE_SECONDS
        )
        async with asyncio.timeout(60), scenario.run():
            await asyncio.sleep(1.0)
            scenario.replies.clear()
            await work(scenario.targets)
        return scenario

    with reserve_block() as block:
        return asyncio.run(run(block))


@pytest.mark.parametrize("entries", (1, 3))
def test_backoff_of_a_target_is_respected(entries, tmp_path):
    # Targets got three requests from an entry within its backoff of 3 s.
    async def work(targets):
        for target in targets[:2]:
            target.fault_mode, target.signals.rest = "shed", REST_SECONDS
        await asyncio.sleep(FULL_SECONDS)

    scenario = run_scenario(tmp_path, entries, work)
    for target in scenario.targets[:2]:
        assert target.signals.refusals > 0
        assert target.signals.violations == []
    assert {reply.status for reply in scenario.replies} == {200}


@pytest.mark.parametrize("entries", (1, 3))
def test_leaving_target_gets_no_new_requests(entries, tmp_path):
    # A target that announced only in answers that it was leaving got requests
    # until its end.
    async def work(targets):
        for target in targets[:2]:
            target.signals.is_leaving = True
        await asyncio.sleep(FULL_SECONDS)

    scenario = run_scenario(tmp_path, entries, work)
    for target in scenario.targets[:2]:
        assert target.runs > 0
        assert target.signals.violations == []
    assert {reply.status for reply in scenario.replies} == {200}


def test_ignored_signals_are_reported():
    signals = SignalChecker(rest=3.0, is_leaving=True)
    signals.record_answer("e1", True, 10.0)
    signals.check_arrival("e1", 10.3, 10.4)
    signals.check_arrival("e2", 11.0, 11.0)
    assert signals.violations == []
    signals.check_arrival("e1", 10.4, 12.9)
    assert len(signals.violations) == 1
    signals.check_arrival("e1", 13.1, 13.1)
    assert len(signals.violations) == 2
    signals.is_excused = lambda entry, since: True
    signals.check_arrival("e1", 12.9, 12.9)
    assert len(signals.violations) == 2
