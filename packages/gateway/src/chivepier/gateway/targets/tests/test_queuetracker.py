"""Tests of counting what waits at all entries."""

from chivepier.gateway.messages import QueueRecord
from chivepier.gateway.targets import QueueTracker
from chivepier.types import Signal


def make() -> QueueTracker:
    """Make the counts of one entry."""
    return QueueTracker("me", Signal())


def test_only_lower_ranks_of_the_service_go_first():
    board = make()
    board.enter("s", 1)
    board.put(QueueRecord("other", "s", 0, 2), 0.0)
    board.put(QueueRecord("other", "s", 3, 4), 0.0)
    board.put(QueueRecord("other", "t", 0, 8), 0.0)
    assert board.count_ahead("s", 1, 0.0) == 2
    assert board.count_ahead("s", 3, 0.0) == 3
    assert board.count_ahead("s", 9, 0.0) == 7


def test_entry_that_fell_silent_holds_nobody_up():
    # An entry is killed with requests that waited there. What it last said
    # would hold up late requests at all other entries for ever.
    board = make()
    board.put(QueueRecord("other", "s", 0, 2), 0.0)
    assert board.count_ahead("s", 1, 3.0) == 2
    assert board.count_ahead("s", 1, 4.0) == 0


def test_what_waits_no_more_is_told_once():
    board = make()
    board.enter("s", 1)
    assert board.list_own() == [QueueRecord("me", "s", 1, 1)]
    board.leave("s", 1)
    assert board.list_own() == [QueueRecord("me", "s", 1, 0)]
    assert board.list_own() == []


def test_own_record_that_comes_back_does_not_count_twice():
    board = make()
    board.enter("s", 0)
    board.put(QueueRecord("me", "s", 0, 5), 0.0)
    assert board.count_ahead("s", 1, 0.0) == 1
