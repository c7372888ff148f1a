"""Tests of the estimates of prefill time."""

import pytest

from chivepier.gateway.targets import PrefillEstimator


def test_estimate_is_zero_before_the_first_event():
    assert PrefillEstimator().estimate("s", 3_000) == 0.0


def test_estimate_follows_the_samples_of_each_service():
    estimator = PrefillEstimator()
    estimator.record("s", 3_000, 0.3)
    assert estimator.estimate("s", 1_000) == pytest.approx(0.1)
    for _ in range(30):
        estimator.record("s", 3_000, 0.6)
    assert estimator.estimate("s", 1_000) == pytest.approx(0.2, rel=0.01)
    assert estimator.estimate("other", 1_000) == 0.0


def test_generation_without_a_prompt_is_not_sampled():
    estimator = PrefillEstimator()
    estimator.record("s", 0, 0.3)
    assert estimator.estimate("s", 1_000) == 0.0


def test_one_late_first_event_does_not_raise_the_estimate():
    # One short prompt whose generation waited for memory determined the
    # estimate, so requests were held back or counted as late for some seconds.
    estimator = PrefillEstimator()
    for _ in range(5):
        estimator.record("s", 3_000, 0.3)
    estimator.record("s", 300, 2.0)
    assert estimator.estimate("s", 1_000) == pytest.approx(0.1)
