"""Tests of summing up what the entries of a zone run."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.control.loadledger import LoadLedger
from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord

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


def test_records_of_many_entries_become_one_a_target():
    # What 38 entries of a zone told of 31 targets crossed its border entry by
    # entry: bytes between zones grew with the entries times the targets.
    ledger = LoadLedger("v1")
    for number in range(38):
        records = tuple(
            LoadRecord(f"e{number}", f"i{t}", 1, 100, 10, 0) for t in range(31)
        )
        queues = (QueueRecord(f"e{number}", "llm", 1, 2),)
        ledger.take(LoadNotice(records, queues), 0.0)
    own = ledger.read(0.0)
    summed = ledger.sum_up(own)
    assert len(own.records) == 38 * 31 and len(summed.records) == 31
    record = summed.records[("v1", "i5")]
    assert (record.runs, record.tokens, record.reading) == (38, 3800, 380)
    assert list(summed.queues.values()) == [QueueRecord("v1", "llm", 1, 76)]


def test_entry_that_fell_silent_counts_no_more():
    ledger = LoadLedger("v1")
    record = LoadRecord("e1", "i1", 1, 100, 0, 0)
    ledger.take(LoadNotice((record,)), 0.0)
    assert ledger.read(3.4).records
    assert not ledger.read(3.5).records


def test_entry_that_follows_another_voter_counts_no_more():
    ledger = LoadLedger("v1")
    record = LoadRecord("e1", "i1", 1, 100, 0, 0)
    queue = QueueRecord("e1", "llm", 1, 2)
    ledger.take(LoadNotice((record,), (queue,)), 0.0)
    ledger.drop("e1")
    assert ledger.read(0.0) == LoadState()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    strategies.lists(strategies.lists(RECORDS, max_size=4), max_size=8),
)
def test_changes_alone_lead_to_the_same_sums(rounds):
    ledger, told, heard = LoadLedger("v1"), LoadState(), LoadState()
    for records in rounds:
        ledger.take(LoadNotice(tuple(records)), 0.0)
        state = ledger.sum_up(ledger.read(0.0))
        heard.put(*state.find_changes(told))
        told = state
        empty = [k for k, r in heard.records.items() if not any(count(r))]
        for key in empty:
            del heard.records[key]
        kept = {k: r for k, r in state.records.items() if any(count(r))}
        assert heard.records == kept


def count(record: LoadRecord) -> tuple:
    """Return a record's counts."""
    return (
        record.runs,
        record.tokens,
        record.reading,
        record.turn,
        record.copying,
        record.receiving,
    )
