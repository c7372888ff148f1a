"""Tests of storing and merging evidence about requests."""

import itertools

from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import ENDING_TTL_SECONDS
from chivepier.gateway.quarantine.crashledger import HOLD_SECONDS
from chivepier.gateway.quarantine.crashledger import MAX_ENDINGS_PER_REQUEST
from chivepier.gateway.quarantine.crashledger import MAX_RECORDS
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.records import pack_records
from chivepier.gateway.quarantine.records import unpack_records

# Monotonic seconds, shortly after the events of these tests.
NOW = 300.0


def make_ending(digest: str, name: str, seen: float = 100.0) -> Ending:
    """Build an ending of a target under a request."""
    return Ending(digest, Incarnation(name, 1), seen, "e1", "refused")


def add_endings(
    ledger: CrashLedger, digest: str, count: int, seen: float = 100.0
) -> None:
    """Add a number of endings of different targets under a request."""
    for number in range(count):
        ledger.add(make_ending(digest, f"{digest}-{number}", seen))


def test_third_ending_holds_request_back_temporarily():
    ledger = CrashLedger()
    for number in range(3):
        assert ledger.find_hold("d", 103.0) is None
        ledger.add(make_ending("d", f"i{number}", 100.0 + number))
    hold = ledger.find_hold("d", 103.0)
    assert hold.until == 102.0 + HOLD_SECONDS
    assert ledger.find_held(hold.until - 0.1) == {"d"}
    assert ledger.find_hold("d", hold.until) is None


def test_fourth_ending_doubles_hold():
    # It ends the next target as soon as it is released. If its endings were
    # dropped on release, it would end three targets each time.
    ledger = CrashLedger()
    add_endings(ledger, "d", 3)
    ledger.add(make_ending("d", "next", 1000.0))
    assert ledger.find_hold("d", 1001.0).until == 1000.0 + 2 * HOLD_SECONDS
    ledger.expire(1000.0 + ENDING_TTL_SECONDS)
    assert not ledger.has_endings("d") and not ledger.suspects


def test_ending_reported_by_two_entries_counts_once():
    ledger = CrashLedger()
    assert ledger.add(make_ending("d", "i1"))
    assert not ledger.add(
        Ending("d", Incarnation("i1", 1), 100.5, "e2", "told")
    )
    assert ledger.add(
        Ending("d", Incarnation("i1", 2), 105.0, "e2", "refused")
    )


def test_answer_clears_endings_before_and_shortly_after_it():
    # Copies of a popular request run on each target that ends within a second,
    # while another copy has just been answered.
    ledger = CrashLedger()
    add_endings(ledger, "d", 3)
    ledger.add(Clearance("d", 100.0 - CLEARANCE_WINDOW_SECONDS / 2, "e2"))
    assert ledger.find_hold("d", NOW) is None and not ledger.has_endings("d")
    assert not ledger.add(make_ending("d", "late", 101.0))
    add_endings(ledger, "d", 3, 100.0 + 2 * CLEARANCE_WINDOW_SECONDS)
    assert ledger.find_hold("d", NOW) is not None


def test_full_ledger_keeps_cause():
    # A wave of ends records thousands of requests that ran beside the cause.
    # If the oldest were dropped, the cause would be forgotten with them.
    ledger = CrashLedger()
    add_endings(ledger, "cause", 3)
    for number in range(2 * MAX_RECORDS):
        ledger.add(make_ending(f"beside{number}", "i", 200.0 + number))
    assert ledger.find_hold("cause", NOW) is not None
    assert len(list(ledger.find_newer(0))) <= MAX_RECORDS
    assert not ledger.has_endings("beside0")


def test_endings_per_request_are_bounded():
    ledger = CrashLedger()
    for number in range(100):
        ledger.add(make_ending("d", f"i{number}", float(number)))
    kept = ledger.find_endings("d")
    assert len(kept) == MAX_ENDINGS_PER_REQUEST and kept[-1].seen == 99.0


def test_find_newer_returns_records_since_revision():
    ledger = CrashLedger()
    ledger.add(make_ending("d", "i1"))
    before = ledger.revision
    ledger.add(make_ending("d", "i2"))
    ledger.add(Clearance("x", 50.0, "e1"))
    newer = list(ledger.find_newer(before))
    assert [type(r) for r in newer] == [Clearance, Ending]
    assert list(ledger.find_newer(ledger.revision)) == []


def test_messages_carry_ages_instead_of_times():
    records = [make_ending("d", "i1", 100.0), Clearance("d", 90.0, "e2")]
    told = unpack_records(pack_records(records, 110.0), 1010.0)
    assert [record.seen for record in told] == [1000.0, 990.0]


RECORDS = [
    make_ending(digest, name, seen)
    for digest, name, seen in itertools.product(
        ("a", "b"), ("i1", "i2", "i3", "i4"), (100.0,)
    )
] + [Clearance("a", 20.0, "e1"), Clearance("b", 99.0, "e2")]


@given(
    strategies.permutations(RECORDS),
    strategies.lists(strategies.sampled_from(RECORDS)),
)
def test_merge_does_not_depend_on_order_or_repetition(order, again):
    ledger, other = CrashLedger(), CrashLedger()
    for record in RECORDS:
        ledger.add(record)
    for record in (*order, *again):
        other.add(record)
    assert ledger.suspects == other.suspects == {"a"}
    endings = ledger.find_endings("a")
    assert set(endings) == set(other.find_endings("a")) and len(endings) == 4


def test_request_without_endings_is_not_a_suspect():
    # There are more causes than fit. One whose endings were dropped for others
    # must not stay among the suspects.
    ledger = CrashLedger()
    for number in range(MAX_RECORDS // 3 + 100):
        add_endings(ledger, f"cause{number}", 3)
    assert ledger.find_held(NOW) == ledger.suspects
    assert all(len(ledger.find_endings(d)) >= 3 for d in ledger.suspects)
