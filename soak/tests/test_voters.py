"""Short seeded runs of lost and replaced voters beside large changes."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.voterscenario import VoterScenario

# By seed, the seconds for which losses are injected.
SEEDS = {1: 20.0, 2: 20.0}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_loss_of_voters_costs_an_acknowledged_change(seed, tmp_path):
    # Guards against votes of voters that are gone, and kept contents.
    with reserve_block() as block:
        scenario = VoterScenario(tmp_path, block, seed)
        seen = asyncio.run(scenario.run(SEEDS[seed]))
    assert seen.violations == []
    assert seen.answered > 50 and scenario.operator.acknowledged > 20


def test_planned_replacements_in_series_cost_no_acknowledged_change(tmp_path):
    # Guards against votes that pile up until a lost disk ends the quorum.
    with reserve_block() as block:
        scenario = VoterScenario(tmp_path, block, 3)
        scenario.faults.keep_only("replace_planned", "lose_disk")
        seen = asyncio.run(scenario.run(30.0))
    assert seen.violations == []
    assert seen.answered > 50 and scenario.operator.acknowledged > 20


def test_replacement_beside_an_absent_voter_costs_no_acknowledged_change(
    tmp_path,
):
    # Guards against a voter that never gets its vote back, and no quorum.
    with reserve_block() as block:
        scenario = VoterScenario(tmp_path, block, 4)
        scenario.faults.keep_only(
            "lose_disk_after_replacement_beside_frozen",
            "replace_beside_stalled",
            "lose_power",
        )
        seen = asyncio.run(scenario.run(30.0))
    assert seen.violations == []
    assert seen.answered > 50 and scenario.operator.acknowledged > 20


def test_voters_silent_one_way_delay_no_acknowledged_change(tmp_path):
    # Guards against changes that are acknowledged and not in force, or lost,
    # while open connections between voters go silent in one direction.
    with reserve_block() as block:
        scenario = VoterScenario(tmp_path, block, 5, goes_silent=True)
        scenario.faults.keep_only("replace_planned", "freeze", "lose_disk")
        seen = asyncio.run(scenario.run(20.0))
    assert seen.violations == []
    assert scenario.silent.count_silenced() > 5
    assert len(scenario.in_force_seconds) > 5
    assert scenario.operator.acknowledged > 20
