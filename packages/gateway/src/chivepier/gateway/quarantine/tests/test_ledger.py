"""Tests of keeping and merging what is known of requests."""

import itertools

from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.ledger import CLEARANCE_WINDOW_SECONDS
from chivepier.gateway.quarantine.ledger import ENDING_TTL_SECONDS
from chivepier.gateway.quarantine.ledger import HOLD_SECONDS
from chivepier.gateway.quarantine.ledger import Ledger
from chivepier.gateway.quarantine.ledger import MAX_ENDINGS_PER_REQUEST
from chivepier.gateway.quarantine.ledger import MAX_RECORDS
from chivepier.gateway.quarantine.records import pack_records
from chivepier.gateway.quarantine.records import unpack_records

# Seconds, shortly after what these tests let happen.
NOW = 300.0


def end(digest: str, name: str, seen: float = 100.0) -> Ending:
    """Let a target end under a request."""
    return Ending(digest, Incarnation(name, 1), seen, "e1", "refused")


def fill(ledger: Ledger, digest: str, count: int, seen: float = 100.0) -> None:
    """Let so many targets end under a request."""
    for number in range(count):
        ledger.add(end(digest, f"{digest}-{number}", seen))


def test_third_end_holds_it_back_for_a_while():
    ledger = Ledger()
    for number in range(3):
        assert ledger.find_hold("d", 103.0) is None
        ledger.add(end("d", f"i{number}", 100.0 + number))
    hold = ledger.find_hold("d", 103.0)
    assert hold.until == 102.0 + HOLD_SECONDS
    assert ledger.find_held(hold.until - 0.1) == {"d"}
    assert ledger.find_hold("d", hold.until) is None


def test_one_more_end_after_that_holds_it_back_for_twice_as_long():
    # It ended the next target as soon as it was let through again. Were its
    # ends forgotten, it would end three each time.
    ledger = Ledger()
    fill(ledger, "d", 3)
    ledger.add(end("d", "next", 1000.0))
    assert ledger.find_hold("d", 1001.0).until == 1000.0 + 2 * HOLD_SECONDS
    ledger.expire(1000.0 + ENDING_TTL_SECONDS)
    assert not ledger.has_endings("d") and not ledger.suspects


def test_same_end_told_by_two_entries_counts_once():
    ledger = Ledger()
    assert ledger.add(end("d", "i1"))
    assert not ledger.add(
        Ending("d", Incarnation("i1", 1), 100.5, "e2", "told")
    )
    assert ledger.add(
        Ending("d", Incarnation("i1", 2), 105.0, "e2", "refused")
    )


def test_answer_clears_what_was_seen_before_and_shortly_after():
    # A body that many ask for was at each of the targets that ended within a
    # second; another copy of it had been answered just before.
    ledger = Ledger()
    fill(ledger, "d", 3)
    ledger.add(Clearance("d", 100.0 - CLEARANCE_WINDOW_SECONDS / 2, "e2"))
    assert ledger.find_hold("d", NOW) is None and not ledger.has_endings("d")
    assert not ledger.add(end("d", "late", 101.0))
    fill(ledger, "d", 3, 100.0 + 2 * CLEARANCE_WINDOW_SECONDS)
    assert ledger.find_hold("d", NOW) is not None


def test_cause_is_kept_when_there_is_no_more_room():
    # A wave of ends leaves thousands of requests that ran beside the cause.
    # Were the oldest dropped, the cause would be forgotten with them.
    ledger = Ledger()
    fill(ledger, "cause", 3)
    for number in range(2 * MAX_RECORDS):
        ledger.add(end(f"beside{number}", "i", 200.0 + number))
    assert ledger.find_hold("cause", NOW) is not None
    assert len(list(ledger.find_newer(0))) <= MAX_RECORDS
    assert not ledger.has_endings("beside0")


def test_one_request_takes_no_more_than_its_share_of_the_room():
    ledger = Ledger()
    for number in range(100):
        ledger.add(end("d", f"i{number}", float(number)))
    kept = ledger.find_endings("d")
    assert len(kept) == MAX_ENDINGS_PER_REQUEST and kept[-1].seen == 99.0


def test_records_since_a_revision_are_told():
    ledger = Ledger()
    ledger.add(end("d", "i1"))
    before = ledger.revision
    ledger.add(end("d", "i2"))
    ledger.add(Clearance("x", 50.0, "e1"))
    newer = list(ledger.find_newer(before))
    assert [type(r) for r in newer] == [Clearance, Ending]
    assert list(ledger.find_newer(ledger.revision)) == []


def test_messages_carry_ages_as_clocks_differ():
    records = [end("d", "i1", 100.0), Clearance("d", 90.0, "e2")]
    told = unpack_records(pack_records(records, 110.0), 1010.0)
    assert [record.seen for record in told] == [1000.0, 990.0]


RECORDS = [
    end(digest, name, seen)
    for digest, name, seen in itertools.product(
        ("a", "b"), ("i1", "i2", "i3", "i4"), (100.0,)
    )
] + [Clearance("a", 20.0, "e1"), Clearance("b", 99.0, "e2")]


@given(
    strategies.permutations(RECORDS),
    strategies.lists(strategies.sampled_from(RECORDS)),
)
def test_order_and_repeats_do_not_matter(order, again):
    ledger, other = Ledger(), Ledger()
    for record in RECORDS:
        ledger.add(record)
    for record in (*order, *again):
        other.add(record)
    assert ledger.suspects == other.suspects == {"a"}
    ends = ledger.find_endings("a")
    assert set(ends) == set(other.find_endings("a")) and len(ends) == 4


def test_nothing_is_held_back_of_which_nothing_is_kept():
    # There were more causes than there is room. One that lost its ends to
    # the others must not be looked up among the suspects any more.
    ledger = Ledger()
    for number in range(MAX_RECORDS // 3 + 100):
        fill(ledger, f"cause{number}", 3)
    assert ledger.find_held(NOW) == ledger.suspects
    assert all(len(ledger.find_endings(d)) >= 3 for d in ledger.suspects)
