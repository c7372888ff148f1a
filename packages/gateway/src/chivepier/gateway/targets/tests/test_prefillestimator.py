"""Tests of learning how fast prompts are read."""

import pytest

from chivepier.gateway.targets import PrefillEstimator


def test_nothing_is_expected_before_a_first_event_was_seen():
    assert PrefillEstimator().estimate("s", 3_000) == 0.0


def test_pace_follows_what_is_seen_of_each_service():
    pace = PrefillEstimator()
    pace.record("s", 3_000, 0.3)
    assert pace.estimate("s", 1_000) == pytest.approx(0.1)
    for _ in range(30):
        pace.record("s", 3_000, 0.6)
    assert pace.estimate("s", 1_000) == pytest.approx(0.2, rel=0.01)
    assert pace.estimate("other", 1_000) == 0.0


def test_generation_without_a_prompt_says_nothing_of_the_pace():
    pace = PrefillEstimator()
    pace.record("s", 0, 0.3)
    assert pace.estimate("s", 1_000) == 0.0


def test_one_late_first_event_does_not_slow_the_pace():
    # Requests were held back or counted as late for some seconds: one short
    # prompt whose generation had waited for memory stood for all.
    pace = PrefillEstimator()
    for _ in range(5):
        pace.record("s", 3_000, 0.3)
    pace.record("s", 300, 2.0)
    assert pace.estimate("s", 1_000) == pytest.approx(0.1)
