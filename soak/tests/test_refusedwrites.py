"""Short seeded runs of voters whose writes are refused for a while."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.voterscenario import VoterScenario


@pytest.mark.parametrize("fault", ("fill_disks_in_series", "fill_all_disks"))
def test_disks_that_were_full_once_cost_no_quorum(fault, tmp_path):
    # Guards against a voter that never takes part again after a full disk.
    with reserve_block() as block:
        scenario = VoterScenario(tmp_path, block, 6)
        scenario.faults.keep_only(fault)
        seen = asyncio.run(scenario.run(1.0))
    assert seen.violations == []
    assert scenario.count_refusals() > 1
    assert seen.answered > 50 and scenario.operator.acknowledged > 20
