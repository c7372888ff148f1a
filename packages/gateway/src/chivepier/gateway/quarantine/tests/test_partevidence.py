"""Tests of telling which part of prompts ends targets."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.quarantine.clearance import Clearance
from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import ENDING_TTL_SECONDS
from chivepier.gateway.quarantine.crashledger import MAX_PARTS_PER_ENDING
from chivepier.gateway.quarantine.crashledger import MAX_RECORDS
from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.records import pack_records
from chivepier.gateway.quarantine.records import unpack_records

SOFTWARE = "llm v1"


def make_ending(number: int, *parts: str, **changes) -> Ending:
    """Build the end of a target of its own under a request of its own."""
    fields = {
        "digest": f"d{number}",
        "incarnation": Incarnation(f"i{number}", 1),
        "seen": 100.0 + number,
        "source": "e1",
        "how": "refused",
        "team": "t1",
        "software": SOFTWARE,
        "answering": True,
        "parts": parts,
    }
    return Ending(**{**fields, **changes})


def make_ledger(*records) -> CrashLedger:
    """Build a ledger of these records."""
    ledger = CrashLedger()
    for record in records:
        ledger.add(record)
    return ledger


def is_held(ledger: CrashLedger, *parts: str, team: str = "t1") -> bool:
    """Tell whether a new request with these parts is held back."""
    return bool(ledger.parts.find_groups(parts, team))


def test_part_common_to_three_ends_is_suspected():
    ledger = make_ledger(*(make_ending(n, f"x{n}", "p") for n in range(2)))
    assert not is_held(ledger, "p")
    ledger.add(make_ending(2, "p", "x2"))
    assert is_held(ledger, "new", "p", "other")
    assert not is_held(ledger, "x0", "x1", "x2")


def test_one_request_that_ends_targets_accuses_none_of_its_parts():
    # Its digest tells it apart; sound requests share its parts.
    endings = [
        make_ending(n, "p", digest="d", incarnation=Incarnation(f"i{n}", 1))
        for n in range(5)
    ]
    ledger = make_ledger(*endings)
    assert ledger.suspects == {"d"} and not is_held(ledger, "p")


def test_request_beside_one_cause_accuses_no_part_of_both():
    # A sound request with the same part was at a target that the cause ended.
    endings = [make_ending(n, "p", digest="d") for n in range(4)]
    beside = make_ending(3, "p", digest="beside")
    assert not is_held(make_ledger(*endings, beside), "p")


def test_part_that_goes_with_the_cause_is_not_held_back_alone():
    ledger = make_ledger(*(make_ending(n, "p", "with") for n in range(3)))
    assert is_held(ledger, "p", "with")
    assert not is_held(ledger, "with") and not is_held(ledger, "p")
    ledger.add(make_ending(3, "p"))
    assert is_held(ledger, "p") and not is_held(ledger, "with")


def test_answer_with_one_of_two_parts_leaves_the_other():
    ledger = make_ledger(*(make_ending(n, "p", "with") for n in range(3)))
    ledger.add(Clearance("with", 103.0, "e2", SOFTWARE))
    assert is_held(ledger, "p") and not is_held(ledger, "with")


def test_two_causes_at_once_are_both_suspected():
    endings = [make_ending(n, "p") for n in range(4)]
    endings += [make_ending(10 + n, "q") for n in range(3)]
    endings += [make_ending(20 + n, "p", "q") for n in range(2)]
    ledger = make_ledger(*endings)
    assert is_held(ledger, "p") and is_held(ledger, "q")


def test_part_of_a_request_that_only_waited_gives_way():
    # At each of these targets a request with another part waited.
    endings = [make_ending(n, "p") for n in range(3)]
    beside = [
        make_ending(n, "q", digest=f"w{n}", answering=False) for n in range(3)
    ]
    ledger = make_ledger(*endings, *beside)
    assert is_held(ledger, "p") and not is_held(ledger, "q")


def test_parts_are_suspected_before_any_answer_has_begun():
    endings = [make_ending(n, "p", answering=False) for n in range(3)]
    assert is_held(make_ledger(*endings), "p")


def test_no_team_has_the_requests_of_another_refused():
    # Callers name the parts of their prompts themselves.
    ledger = make_ledger(*(make_ending(n, "p") for n in range(8)))
    assert is_held(ledger, "p", team="t1")
    assert not is_held(ledger, "p", team="t2")
    ledger.add(make_ending(8, "p", team="t2"))
    assert not is_held(ledger, "p", team="t2")
    ledger.add(make_ending(9, "p", team="t2"))
    assert is_held(ledger, "p", team="t2")


def test_part_that_ends_targets_for_three_teams_does_so_for_all():
    endings = [make_ending(n, "p", team=f"t{n}") for n in range(3)]
    assert is_held(make_ledger(*endings), "p", team="another")


def test_answer_counts_for_its_software_only():
    # A part ends targets of one version only, and another answers it.
    endings = [make_ending(n, "p", software="llm v2") for n in range(3)]
    ledger = make_ledger(*endings)
    ledger.add(Clearance("p", 200.0, "e2", SOFTWARE))
    assert is_held(ledger, "p")
    ledger.add(Clearance("p", 200.0, "e2", "llm v2"))
    assert not is_held(ledger, "p")


def test_cleared_part_is_not_accused_by_ends_that_are_told_again():
    # A voter that starts anew is told all endings once more, after the answer
    # that cleared the part has been forgotten.
    endings = [make_ending(n, "p") for n in range(3)]
    ledger = make_ledger(*endings, Clearance("p", 103.0, "e2", SOFTWARE))
    told = [e for e in ledger.find_newer(0) if isinstance(e, Ending)]
    fresh = make_ledger(*told)
    assert len(told) == 3 and not is_held(fresh, "p")
    for ending in endings:
        ledger.add(ending)
    ledger.expire(110.0 + 3 * CLEARANCE_WINDOW_SECONDS)
    assert not is_held(ledger, "p")


def test_later_ends_accuse_a_part_again():
    first = [make_ending(n, "p") for n in range(3)]
    ledger = make_ledger(*first, Clearance("p", 103.0, "e2", SOFTWARE))
    late = 104.0 + CLEARANCE_WINDOW_SECONDS
    for number in range(10, 13):
        ledger.add(make_ending(number, "p", seen=late))
    assert is_held(ledger, "p")
    ledger.expire(late + ENDING_TTL_SECONDS)
    assert not ledger.parts.groups and not ledger.parts.count("p")


def test_many_answers_clear_a_part_with_one_record():
    # At each end all entries that know the part tell the same.
    ledger = make_ledger(make_ending(0, "p"))
    assert ledger.add(Clearance("p", 101.0, "e1", SOFTWARE))
    assert not ledger.add(Clearance("p", 101.1, "e2", SOFTWARE))


def test_messages_carry_what_the_verdict_needs():
    endings = [make_ending(n, "p", "q") for n in range(3)]
    records = [*endings, Clearance("q", 103.0, "e2", SOFTWARE)]
    told = unpack_records(pack_records(records, 110.0), 1010.0)
    assert is_held(make_ledger(*told), "p")
    assert not is_held(make_ledger(*told), "q")


def test_long_lists_of_parts_are_kept_to_a_bound():
    names = [f"p{number}" for number in range(10_000)]
    ledger = make_ledger(make_ending(0, *names))
    kept = ledger.find_endings("d0")[0]
    assert len(kept.parts) == MAX_PARTS_PER_ENDING


def test_evidence_against_a_part_outlives_a_flood_of_others():
    # No two of its requests are alike, so each of these has one ending.
    ledger = make_ledger(*(make_ending(n, "p") for n in range(3)))
    for number in range(10, 10 + MAX_RECORDS):
        ledger.add(make_ending(number, f"x{number}"))
    assert is_held(ledger, "p") and ledger.parts.count("p") == 3


RECORDS = [
    make_ending(number, *parts)
    for number, parts in enumerate(
        [("p", "a"), ("p", "b"), ("p", "a", "c"), ("c", "b"), ("c", "d")]
    )
] + [Clearance("a", 103.0, "e1", SOFTWARE), Clearance("d3", 90.0, "e1")]


@settings(deadline=None)
@given(
    strategies.permutations(RECORDS),
    strategies.lists(strategies.sampled_from(RECORDS)),
)
def test_verdict_does_not_depend_on_order_or_repetition(order, again):
    ledger = make_ledger(*order, *again)
    assert {group.parts for group in ledger.parts.groups} == {frozenset({"p"})}


def test_every_request_with_a_suspected_part_is_held_back():
    parts = "abcp"
    ledger = make_ledger(*(make_ending(n, "p") for n in range(3)))
    for size in range(1, 5):
        for chosen in itertools.combinations(parts, size):
            assert is_held(ledger, *chosen) == ("p" in chosen)


def test_part_that_was_beside_two_causes_is_not_suspected():
    # It was at the targets that one cause ended, and at one of the other's.
    endings = [make_ending(n, "p", "q") for n in range(2)]
    endings += [make_ending(10 + n, "p") for n in range(2)]
    endings += [make_ending(20, "r", "q")]
    endings += [make_ending(30 + n, "r") for n in range(2)]
    ledger = make_ledger(*endings)
    assert is_held(ledger, "p") and is_held(ledger, "r")
    assert not is_held(ledger, "q")
