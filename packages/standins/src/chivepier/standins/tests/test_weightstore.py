"""Tests of the weight store's limit."""

from chivepier.standins.weightstore import WeightStore
from chivepier.types import ManualClock


def test_rate_is_limited_and_recovers():
    clock = ManualClock()
    store = WeightStore(clock, rate=0.5, burst=1)
    assert store.take() == 0.0
    assert store.take() == 2.0
    clock.advance(2.0)
    assert store.take() == 0.0
