"""Tests of aggregating the loads of a zone's entries."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.control.loadledger import LoadLedger
from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord

EMPTY = LoadRecord("e1", "i1", 0, 0, 0, 0)
COUNTS = strategies.integers(min_value=0, max_value=5)
RECORDS = strategies.builds(
    LoadRecord,
    strategies.sampled_from(["e1", "e2", "e3"]),
    strategies.sampled_from(["i1", "i2"]),
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
    strategies.booleans(),
    COUNTS,
)


def test_records_of_many_entries_become_one_per_target():
    # Guards against forwarding the records of each entry, which makes traffic
    # between zones grow with the number of entries times that of targets.
    ledger = LoadLedger("v1")
    for number in range(38):
        records = tuple(
            LoadRecord(f"e{number}", f"i{t}", 1, 100, 10, 0) for t in range(31)
        )
        queues = (QueueRecord(f"e{number}", "llm", 1, 2),)
        ledger.receive(LoadNotice(records, queues), 0.0)
    own, summed = ledger.copy_reports(), ledger.aggregate()
    assert len(own.records) == 38 * 31 and len(summed.records) == 31
    record = summed.records[("v1", "i5")]
    assert (record.runs, record.tokens, record.reading) == (38, 3800, 380)
    assert list(summed.queues.values()) == [QueueRecord("v1", "llm", 1, 76)]


def test_silent_entry_is_removed_from_sums():
    ledger = LoadLedger("v1")
    record = LoadRecord("e1", "i1", 1, 100, 0, 0)
    ledger.receive(LoadNotice((record,)), 0.0)
    ledger.expire(3.4)
    assert ledger.copy_reports() and ledger.aggregate()
    ledger.expire(3.5)
    assert not ledger.copy_reports() and not ledger.aggregate()
    changes, sums = ledger.pop_changes()
    assert list(changes.records.values()) == [EMPTY]
    assert sums.records[("v1", "i1")] == LoadRecord("v1", "i1", 0, 0, 0, 0)


def test_entry_following_another_voter_is_removed_from_sums():
    ledger = LoadLedger("v1")
    record = LoadRecord("e1", "i1", 1, 100, 0, 0)
    queue = QueueRecord("e1", "llm", 1, 2)
    ledger.receive(LoadNotice((record,), (queue,)), 0.0)
    ledger.drop_entry("e1")
    assert not ledger.copy_reports() and not ledger.aggregate()


def test_repeated_report_is_no_change():
    ledger = LoadLedger("v1")
    record = LoadRecord("e1", "i1", 1, 100, 0, 0)
    ledger.receive(LoadNotice((record,)), 0.0)
    ledger.pop_changes()
    ledger.receive(LoadNotice((record,)), 1.0)
    changes, sums = ledger.pop_changes()
    assert not changes and not sums
    ledger.expire(4.0)
    assert ledger.copy_reports()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    strategies.lists(strategies.lists(RECORDS, max_size=4), max_size=8),
)
def test_incremental_changes_match_full_sums(rounds):
    ledger, heard, heard_sums = LoadLedger("v1"), LoadState(), LoadState()
    for records in rounds:
        ledger.receive(LoadNotice(tuple(records)), 0.0)
        changes, sums = ledger.pop_changes()
        heard.add(changes)
        heard_sums.add(sums)
        assert prune(heard) == prune(ledger.copy_reports())
        assert prune(heard_sums) == prune(ledger.aggregate())


def prune(state: LoadState) -> dict:
    """Return the records that are not all zero."""
    return {
        key: record
        for key, record in state.records.items()
        if record != LoadRecord(*key, 0, 0, 0, 0)
    }


def test_held_room_is_summed_and_dropped_with_its_entry():
    """Voters that keep a dead entry's room keep it from all others."""
    ledger = LoadLedger("v1")
    for name in ("e1", "e2"):
        queue = QueueRecord(name, "llm", 0, 0, 0, 2, 500)
        ledger.receive(LoadNotice((), (queue,)), 0.0)
    (total,) = ledger.aggregate().queues.values()
    assert total == QueueRecord("v1", "llm", 0, 0, 0, 4, 1_000)
    ledger.drop_entry("e1")
    ledger.expire(3.5)
    _, sums = ledger.pop_changes()
    assert list(sums.queues.values()) == [QueueRecord("v1", "llm", 0, 0)]
    assert not ledger.aggregate()
