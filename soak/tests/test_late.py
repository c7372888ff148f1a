"""Tests of requests that come before and during a planned stop."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.latescenario import LateScenario

# Seeds of the short run; more by hand.
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_stop_loses_no_late_request(seed, tmp_path):
    """Guards against requests taken late and cut at the end (issue 69)."""
    with reserve_block() as block:
        scenario = LateScenario(tmp_path, block, seed)
        asyncio.run(asyncio.wait_for(scenario.run(), 60))
    assert scenario.list_lost() == []
    assert scenario.list_untrue() == []
    assert scenario.list_unserved() == []
    assert scenario.checker.violations == []
