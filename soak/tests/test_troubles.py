"""Tests of requests that may run once, beside the troubles of deployments."""

import asyncio
import random

import pytest

from soak.blocks import reserve_block
from soak.doubtfultarget import DoubtfulTarget
from soak.press import draw_scenario
from soak.press import press_beside
from soak.pressscenario import PressScenario
from soak.trouble import Trouble

CALLERS = 12
SINGLE_SECONDS, TOGETHER_SECONDS = 0.4, 2.5


@pytest.mark.parametrize("entries,targets", ((1, 1), (1, 40), (7, 3)))
def test_no_trouble_leads_to_a_false_promise(entries, targets, tmp_path):
    # Guards each trouble by itself against a second run and a false refusal.
    series = [(kind,) for kind in Trouble]
    with reserve_block() as block:
        scenario = PressScenario(
            tmp_path, block, 1, entries, targets, CALLERS, DoubtfulTarget
        )
        asyncio.run(press_beside(scenario, series, SINGLE_SECONDS))
    assert scenario.checker.violations == []
    assert scenario.count_replies(200) > 50


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_troubles_together_lead_to_no_false_promise(seed, tmp_path):
    # Guards against troubles that only do harm beside others.
    with reserve_block() as block:
        scenario, series = draw_scenario(
            random.Random(seed), tmp_path, block, seed
        )
        asyncio.run(press_beside(scenario, series, TOGETHER_SECONDS))
    assert scenario.checker.violations == []
    assert scenario.count_replies(200) > 50
