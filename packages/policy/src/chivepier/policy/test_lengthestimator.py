"""What lengths are learned from, and how fast they are forgotten."""

import random

import pytest

from chivepier.policy.ask import Ask
from chivepier.policy.benchmarks.calibration import compute_calibration
from chivepier.policy.benchmarks.calibration import FinishedOnly
from chivepier.policy.benchmarks.calibration import QUANTILES
from chivepier.policy.benchmarks.site import SITES
from chivepier.policy.lengthestimator import LengthEstimator


def make_ask(team="a", max_tokens=4096):
    """Build a request of one template and class."""
    return Ask(
        request="r", team=team, template="t", model="m", max_tokens=max_tokens
    )


def learn(lengths, ask, median, count, seed=1):
    """Let requests run to their ends one after the other."""
    rng = random.Random(seed)
    for _ in range(count):
        length = max(1, int(median * rng.lognormvariate(0, 0.5)))
        lengths.advance(ask, 0, length)
        lengths.finish(ask, length)


def test_streams_in_flight_count():
    # Lengths of ended answers alone take nearly all streams for short.
    lengths = LengthEstimator()
    ask = make_ask()
    for _ in range(20):
        lengths.advance(ask, 0, 50)
        lengths.finish(ask, 50)
        lengths.advance(ask, 0, 1000)
    assert 40 <= lengths.profile(ask).quantile(0.4) <= 60
    assert lengths.profile(ask).quantile(0.6) > 800


def test_remaining_length_grows_with_what_came():
    lengths = LengthEstimator()
    ask = make_ask()
    learn(lengths, ask, 100, 200)
    profile = lengths.profile(ask)
    assert 80 < profile.quantile(0.5) < 125
    assert profile.quantile(0.5, tokens=200) > 200
    assert profile.expect(300) > 300


def test_new_team_leans_on_its_template():
    lengths = LengthEstimator()
    learn(lengths, make_ask("old"), 100, 200)
    assert 70 < lengths.profile(make_ask("new")).quantile(0.5) < 140


def test_shift_is_followed():
    # After 200 answers of 100 tokens the lengths are five times as long;
    # within 100 answers the median is more than twice the old one.
    lengths = LengthEstimator()
    ask = make_ask()
    learn(lengths, ask, 100, 200)
    learn(lengths, ask, 500, 100, seed=2)
    learn(lengths, ask, 500, 100, seed=3)
    assert lengths.profile(ask).quantile(0.5) > 250


def test_tail_ends_at_the_output_limit():
    # The prior's tail charged teams for lengths that no output can have.
    lengths = LengthEstimator()
    ask = make_ask(max_tokens=64)
    learn(lengths, ask, 8, 50)
    assert lengths.profile(ask).expect(0) < 16


def test_cells_are_evicted():
    lengths = LengthEstimator(max_cells=10)
    for number in range(1000):
        learn(lengths, make_ask(f"team{number}"), 10, 1)
    assert len(lengths) <= 10


@pytest.mark.parametrize("site", SITES.values(), ids=list(SITES))
def test_quantiles_are_calibrated(site):
    # The seen part below each predicted quantile, once warm.
    rows = compute_calibration(site, "steady", 1, LengthEstimator())
    for quantile, seen in zip(QUANTILES, rows["later"]):
        assert abs(seen - quantile) < 0.05


def test_biased_start_is_smaller_than_from_finished_ones():
    # In the first ten seconds only short answers have ended.
    site = SITES["fairway"]
    ours = compute_calibration(site, "steady", 1, LengthEstimator())
    naive = compute_calibration(site, "steady", 1, FinishedOnly())
    assert ours["start"][2] > 0.8
    assert naive["start"][2] < 0.4
