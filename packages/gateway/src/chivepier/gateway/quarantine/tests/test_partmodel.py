"""Tests of the verdict on parts over drawn days, without a network."""

import asyncio

import pytest

from chivepier.gateway.quarantine.tests.partmodel import PartModel

DAY_SECONDS = 40.0
# Crashes after which arrivals count, seconds from there, and arrivals that
# the users' rule allows.
COUNTED_CRASHES, KNOWN_SECONDS, MAX_LATE_ARRIVALS = 5, 3.0, 3
# Sound requests of which one may be refused by chance.
SOUND_PER_REFUSED = 100


def play_day(seed: int, **options):
    """Play a day and return what happened."""
    return asyncio.run(PartModel(seed, **options).play(DAY_SECONDS))


def count_late(tally) -> int:
    """Count the arrivals of crashing requests that the rule counts."""
    if len(tally.crashes) < COUNTED_CRASHES:
        return 0
    known_at = tally.crashes[COUNTED_CRASHES - 1] + KNOWN_SECONDS
    return sum(at > known_at for at in tally.arrivals)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "options",
    [
        {},
        {"wave_seconds": 8.0},
        {"rate": 2.0, "wave_seconds": 10.0},
        {"entries": 20, "wave_seconds": 8.0},
        {"crashing": ("bad", "worse")},
    ],
    ids=["alone", "waves", "quiet", "entries", "two"],
)
def test_crashing_parts_are_held_back_and_sound_ones_are_not(options, seed):
    tally = play_day(seed, **options)
    allowed = MAX_LATE_ARRIVALS * len(options.get("crashing", "1"))
    assert tally.crashes and count_late(tally) <= allowed
    assert tally.refused * SOUND_PER_REFUSED <= tally.served


@pytest.mark.parametrize("seed", range(4))
def test_crashes_that_no_part_causes_hold_back_nothing(seed):
    tally = play_day(seed, crashing=(), wave_seconds=4.0)
    assert tally.waves > 20
    assert tally.refused * SOUND_PER_REFUSED <= tally.served


@pytest.mark.parametrize("seed", range(4))
def test_one_crashing_request_beside_waves_holds_back_no_sound_part(seed):
    # Guards against sound parts that are refused as one request ends targets
    # and waves of crashes come before much has been answered.
    tally = play_day(seed, crashing_rate=1e-9, wave_seconds=4.0)
    assert tally.waves > 20
    assert tally.refused * SOUND_PER_REFUSED <= tally.served
