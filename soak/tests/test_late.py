"""Tests of requests that come before and during planned stops."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.latescenario import KNOWN_KINDS
from soak.latescenario import LateScenario


@pytest.mark.parametrize("in_series", (False, True))
def test_planned_stops_lose_no_late_request(in_series, tmp_path):
    """Guards against requests taken late and cut at the end (issue 69)."""
    with reserve_block() as block:
        scenario = LateScenario(tmp_path, block, 1, in_series)
        asyncio.run(asyncio.wait_for(scenario.run(), 60))
    assert scenario.list_lost() == []
    assert scenario.list_untrue() == []
    assert scenario.list_unserved() == []
    assert scenario.checker.violations == []


def test_planned_stop_breaks_off_nothing_whose_length_is_known(tmp_path):
    """Guards against streams and repeats cut at the end (issue 72)."""
    with reserve_block() as block:
        scenario = LateScenario(
            tmp_path,
            block,
            1,
            kinds=KNOWN_KINDS,
            grace_seconds=4.0,
            known=True,
        )
        asyncio.run(asyncio.wait_for(scenario.run(), 60))
    assert scenario.list_broken() == []
    assert scenario.list_untrue() == []
    assert scenario.list_unserved() == []
    assert scenario.checker.violations == []
