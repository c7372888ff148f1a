"""Tests of the check of cold targets."""

import pytest

from soak.coldchecker import COLD_NOTICE_SECONDS
from soak.coldchecker import ColdChecker
from soak.coldchecker import MAX_COLD_REQUESTS


class Played:
    """A cold target whose limit holds, in played time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.now = 100.0
        monkeypatch.setattr("soak.coldchecker.time.monotonic", self.read)
        self.checker = ColdChecker([])
        self.checker.begin(COLD_NOTICE_SECONDS + 60.0)
        self.checker.note_announced()
        self.now += COLD_NOTICE_SECONDS

    def read(self) -> float:
        """Return the played time."""
        return self.now

    def arrive(self, instance: str, count: int, step: float = 0.01) -> int:
        """Let requests arrive; return the count of the last one."""
        for _ in range(count):
            self.now += step
            seen = self.checker.count_arrival("127.0.0.1:80", instance)
        return seen


@pytest.fixture(name="played")
def make_played(monkeypatch) -> Played:
    return Played(monkeypatch)


def test_one_arrival_too_many_at_a_target_is_reported(played):
    played.arrive("i1", MAX_COLD_REQUESTS)
    assert played.checker.violations == []
    played.arrive("i1", 1)
    assert len(played.checker.violations) == 1


def test_arrivals_at_another_name_are_another_targets(played):
    # 11 at a target that crashed and 2 at the next one, under another name,
    # counted as 13 at one.
    played.arrive("i1", MAX_COLD_REQUESTS - 1)
    assert played.arrive("i2", MAX_COLD_REQUESTS) == MAX_COLD_REQUESTS
    assert played.checker.violations == []
    played.arrive("i2", 1)
    assert len(played.checker.violations) == 1


def test_arrivals_at_a_name_outlast_those_at_another(played):
    # Guards against a check that begins anew with each change of the name.
    played.arrive("i1", MAX_COLD_REQUESTS - 1)
    played.arrive("i2", 1)
    assert played.arrive("i1", 2) == MAX_COLD_REQUESTS + 1
    assert len(played.checker.violations) == 1


def test_arrivals_are_counted_for_a_second(played):
    played.arrive("i1", MAX_COLD_REQUESTS, 0.0)
    played.now += 0.999
    assert played.arrive("i1", 1, 0.0) == MAX_COLD_REQUESTS + 1
    played.now += 1.0
    assert played.arrive("i1", 1, 0.0) == 1
