"""Tests of when targets that requested a backoff get requests again."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import MAX_BACKOFF_SECONDS
from chivepier.gateway.limits import MAX_INHERITED_SECONDS
from chivepier.gateway.limits import PROBE_SECONDS


def make_table(seconds: float = 3.0) -> BackoffTable:
    """Make a table whose target requested a backoff at second 10."""
    table = BackoffTable(random.Random(1))
    table.add("i1", 1, seconds, 10.0)
    return table


def find_backoff_end(table: BackoffTable, now: float = 10.0) -> float:
    """Return when the target may be sent requests again."""
    return now + table.find_delay("i1", 1, now)


def test_shorter_backoff_does_not_cut_longer_one():
    table = make_table()
    end = find_backoff_end(table)
    assert not table.add("i1", 1, 0.5, 10.1)
    assert find_backoff_end(table) == end
    table.add("i1", 1, 9.0, 10.2)
    assert find_backoff_end(table) >= 19.2


def test_late_answer_without_backoff_does_not_end_one():
    table = make_table()
    table.note_answered("i1", 1, 11.0)
    assert table.find_delay("i1", 1, 12.9) is not None


def test_backoff_applies_to_one_incarnation_only():
    table = make_table()
    assert table.find_delay("i1", 2, 11.0) is None
    table.add("i1", 2, 3.0, 11.0)
    table.forget("i1", 1)
    assert table.find_delay("i1", 1, 11.0) is None
    assert table.find_delay("i1", 2, 11.0) is not None


def test_backoff_possibly_of_next_incarnation_applies_to_it():
    # A restarted target requests a backoff before its announcement arrives.
    # The backoff is recorded under the old incarnation and must carry over.
    table = make_table(5.0)
    table.end_incarnation("i1", 1, heard=9.5)
    assert table.find_delay("i1", 2, 14.9) is not None
    table.note_answered("i1", 2, 12.0)
    assert table.find_delay("i1", 2, 14.9) is not None
    table.note_answered("i1", 2, 16.0)
    assert not table


def test_backoff_of_ended_incarnation_ends_with_it():
    table = make_table(5.0)
    table.end_incarnation("i1", 1, heard=10.5)
    assert table.find_delay("i1", 2, 11.0) is None
    assert not table


def test_inherited_backoff_is_bounded():
    table = make_table(3_000.0)
    table.end_incarnation("i1", 1, heard=9.5)
    assert table.find_delay("i1", 2, 10.0 + MAX_INHERITED_SECONDS) is None


def test_backoff_is_capped_at_one_hour():
    table = make_table(1e12)
    end = find_backoff_end(table)
    assert MAX_BACKOFF_SECONDS <= end - 10.0 <= MAX_BACKOFF_SECONDS + 0.5


@pytest.mark.parametrize("answered", (True, False))
def test_requests_after_backoff_wait_for_first_answer(
    answered,
):
    table = make_table()
    end = find_backoff_end(table)
    assert table.find_delay("i1", 1, end) is None
    table.note_sent("i1", 1, end)
    assert table.find_delay("i1", 1, end + 0.01) is not None
    if answered:
        table.note_answered("i1", 1, end + 0.02)
        assert not table
    else:
        assert table.find_delay("i1", 1, end + PROBE_SECONDS) is None


def test_entries_told_to_back_off_together_return_spread_out():
    ends = set()
    for seed in range(20):
        table = BackoffTable(random.Random(seed))
        table.add("i1", 1, 3.0, 10.0)
        ends.add(round(find_backoff_end(table), 3))
    assert min(ends) >= 13.0 and max(ends) <= 13.5
    assert len(ends) > 15


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("ask", "whole", "send", "restart", "wait")),
        strategies.floats(0.01, 4.0),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=300)
@given(STEPS, strategies.integers(0, 9))
def test_no_request_is_sent_during_backoff_and_backoffs_end(steps, seed):
    # Answers in any order, including late ones of earlier incarnations.
    table, now, born = BackoffTable(random.Random(seed)), 0.0, 1
    earliest: dict[int, float] = {}
    for step, seconds in steps:
        match step:
            case "ask":
                late = born - (seconds > 3.0)
                table.add("i1", late, seconds, now)
                earliest[late] = max(earliest.get(late, 0.0), now + seconds)
            case "whole":
                table.note_answered("i1", born, now)
            case "send":
                if table.find_delay("i1", born, now) is None:
                    assert now >= earliest.get(born, 0.0)
                    table.note_sent("i1", born, now)
            case "restart":
                table.forget("i1", born)
                born += 1
            case "wait":
                now += seconds
    assert table.find_delay("i1", born, now + 5.0) is None
