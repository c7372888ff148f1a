"""Tests of the newest reports of targets about their own load."""

import attrs
import pytest

from chivepier.gateway.messages import TargetReport
from chivepier.gateway.targets import reportboard
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import ReportedLoad
from chivepier.gateway.targets import ReportOutcome
from chivepier.types import Signal

RELAYED = TargetReport("t", 7, 100, 3, 1, 6, 170)


class CountingSignal(Signal):
    """Counts how often it was set."""

    count = 0

    def set(self) -> None:
        """Count a set."""
        self.count += 1


def make_load(running: int, pace: float | None = 1.0) -> ReportedLoad:
    """Make a report of a target of six slots."""
    return ReportedLoad(running=running, waiting=0, slots=6, pace=pace)


def test_sends_count_since_the_report_was_made():
    """Guards against own sends forgotten as an older report is relayed."""
    board = ReportBoard()
    board.record("t", 7, make_load(1), now=9.0)
    for at in (9.5, 9.95, 9.97):
        board.note_start("t", at)
    assert board.count_requests("t", 7, now=10.0) == 4
    assert board.put(RELAYED, now=10.0) is ReportOutcome.NEW
    assert board.count_requests("t", 7, now=10.0) == 4 + 2
    assert board.count_requests("t", 7, now=11.0) is None


@pytest.mark.parametrize(
    ("change", "outcome"),
    (
        ({"age_ms": 99}, ReportOutcome.NEW),
        ({"age_ms": 100}, ReportOutcome.OUTDATED),
        ({"age_ms": 300}, ReportOutcome.OUTDATED),
        ({"age_ms": 0, "born": 6}, ReportOutcome.OUTDATED),
        ({"age_ms": 1001, "instance": "other"}, ReportOutcome.OUTDATED),
        ({"age_ms": 0, "running": -1}, ReportOutcome.INVALID),
        ({"age_ms": 0, "waiting": 10**400}, ReportOutcome.INVALID),
        ({"age_ms": 0, "slots": 0}, ReportOutcome.INVALID),
        ({"age_ms": 0, "pace_percent": -3}, ReportOutcome.INVALID),
        ({"age_ms": 0, "pace_percent": 10**400}, ReportOutcome.INVALID),
        ({"age_ms": -1}, ReportOutcome.INVALID),
        ({"age_ms": 10**400}, ReportOutcome.INVALID),
    ),
)
def test_only_newer_and_possible_reports_count(change, outcome):
    """Guards against late, repeated, crossed and impossible reports."""
    board = ReportBoard()
    board.put(RELAYED, now=10.0)
    report = attrs.evolve(RELAYED, **{"running": 5} | change)
    assert board.put(report, now=10.0) is outcome
    running = 5 if outcome is ReportOutcome.NEW else 3
    assert board.find("t", 7).load.running == running


def test_restarted_target_is_known_anew():
    """Guards against counts and paces of an ended incarnation."""
    board = ReportBoard()
    known = []
    board.pace_watchers.append(lambda *pace: known.append(pace))
    board.record("t", 7, make_load(6, 0.7), now=9.0)
    board.note_start("t", 9.5)
    board.put(attrs.evolve(RELAYED, born=8, running=0, waiting=0), now=10.0)
    assert board.count_requests("t", 8, now=10.0) == 0
    assert board.get_base_pace("t", 8) == 1.7
    assert not board.record("t", 7, make_load(6, 0.7), now=10.0)
    board.forget("t", 7)
    assert board.find("t", 8) and board.find("t", 7) is None
    assert known == [("t", 7, 0.7), ("t", 8, 1.7)]


def test_impossible_pace_of_an_answer_is_left_out():
    """Guards against a pace of 0 or 100 in the order of targets."""
    board = ReportBoard()
    for pace in (0.001, 100.0):
        board.record("t", 7, make_load(2, pace), now=9.0 + pace)
        assert board.get_base_pace("t", 7) is None
        assert board.count_requests("t", 7, now=9.0 + pace) == 2


def test_only_news_is_told_to_others():
    """Guards against notices that say again what the others know."""
    signal = CountingSignal()
    board = ReportBoard(signal)
    board.record("t", 7, make_load(4, 1.7), now=10.0)
    (told,) = board.collect_changes(now=10.1)
    assert told == attrs.evolve(RELAYED, running=4, waiting=0)
    board.record("t", 7, make_load(4, 1.7), now=10.2)
    board.put(attrs.evolve(RELAYED, age_ms=0, waiting=0), now=10.3)
    board.record("t", 7, make_load(3, 1.7), now=10.4)
    assert signal.count == 1 and not board.collect_changes(now=10.4)
    board.record("t", 7, make_load(3, 1.7), now=10.9)
    assert signal.count == 2 and not board.collect_changes(now=12.0)


def test_reports_without_a_pace_change_nothing():
    """Guards sites whose targets tell counts alone, served as before."""
    signal = CountingSignal()
    board = ReportBoard(signal)
    assert not board.record("t", 7, make_load(4, None), now=10.0)
    assert board.count_requests("t", 7, now=10.0) is None
    assert board.collect_changes(now=10.0) == () and not signal.count


def test_notice_has_a_bounded_number_of_reports():
    """Guards against notices that grow with the number of targets."""
    board = ReportBoard()
    for number in range(3 * reportboard.MAX_REPORTS_PER_NOTICE):
        board.record(f"t{number}", 1, make_load(1), now=number / 1000)
    first, second = (board.collect_changes(now=0.1) for _ in range(2))
    assert len(first) == len(second) == reportboard.MAX_REPORTS_PER_NOTICE
    assert (
        first[0].instance == f"t{3 * reportboard.MAX_REPORTS_PER_NOTICE - 1}"
    )
    assert not {r.instance for r in first} & {r.instance for r in second}
