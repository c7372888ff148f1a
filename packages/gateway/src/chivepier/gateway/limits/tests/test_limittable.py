"""Tests of merging rate limits in any order of arrival."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.limits import InvalidLimit
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import MAX_UNKNOWN_TARGETS
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import pack_limits
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.limits import unpack_limits
from chivepier.gateway.limits import VersionedLimit

ENTRIES = 3
RATES = (None, 0.0, 1.5, 3.0)


def make_limit(rate: float | None):
    """Build the limit that an answer states."""
    return NoLimit() if rate is None else RateLimit(rate)


def make_record(
    version: int, rate: float | None, born: int = 1
) -> VersionedLimit:
    """Build a versioned limit of one target."""
    return VersionedLimit(
        instance="i1",
        born=born,
        version=version,
        rate=rate,
        source="e1",
        seen=0.0,
    )


def test_answer_to_earlier_request_does_not_clear_limit():
    table = LimitTable("e1")
    table.observe("i1", 1, None, RateLimit(1.5), 0.0)
    assert not table.observe("i1", 1, None, NoLimit(), 0.1)
    assert table.find_rate("i1", 1) == 1.5


def test_lower_rate_of_concurrent_answers_wins():
    table = LimitTable("e1")
    table.observe("i1", 1, None, RateLimit(2.0), 0.0)
    table.observe("i1", 1, None, RateLimit(1.0), 0.1)
    table.observe("i1", 1, None, RateLimit(3.0), 0.2)
    assert table.find_rate("i1", 1) == 1.0


def test_later_answers_raise_and_clear_limit():
    table = LimitTable("e1")
    table.observe("i1", 1, None, RateLimit(1.0), 0.0)
    table.observe("i1", 1, table.find("i1", 1), RateLimit(2.0), 0.1)
    assert table.find_rate("i1", 1) == 2.0
    table.observe("i1", 1, table.find("i1", 1), NoLimit(), 0.2)
    assert table.find_rate("i1", 1) is None


def test_invalid_limit_neither_sets_nor_clears_one():
    table = LimitTable("e1")
    assert not table.observe("i1", 1, None, InvalidLimit(), 0.0)
    table.observe("i1", 1, None, RateLimit(1.5), 0.0)
    assert not table.observe("i1", 1, table.find("i1", 1), InvalidLimit(), 0.1)
    assert table.find_rate("i1", 1) == 1.5


def test_limit_does_not_bind_next_incarnation():
    table = LimitTable("e1")
    table.put(make_record(9, 1.5, born=1))
    assert table.find_rate("i1", 2) is None
    table.put(make_record(1, 3.0, born=2))
    assert not table.put(make_record(10, 0.0, born=1))
    assert table.find_rate("i1", 2) == 3.0


def test_unreachable_rate_is_no_limit():
    table = LimitTable("e1")
    table.put(make_record(1, 1e9))
    assert table.find_rate("i1", 1) is None
    table.put(make_record(2, 0.0))
    assert table.find_rate("i1", 1) == 0.0


def test_forgetting_incarnation_keeps_limit_of_next_one():
    # The limit of the next incarnation arrives before its announcement. If
    # ending the old one dropped it, the entry would send at full rate.
    table = LimitTable("e1")
    table.put(make_record(3, 0.5, born=1))
    table.put(make_record(1, 1.5, born=2))
    table.forget("i1", 1)
    assert table.find_rate("i1", 2) == 1.5
    table.forget("i1", 2)
    assert list(table) == [] and table.find_newer(0) == []


def test_limits_of_unknown_targets_are_bounded():
    table = LimitTable("e1")
    for number in range(MAX_UNKNOWN_TARGETS + 1):
        table.observe(f"i{number}", 1, None, RateLimit(1.5), 0.0)
    table.expire(["i0"])
    assert len(list(table)) == MAX_UNKNOWN_TARGETS + 1
    table.expire([])
    assert list(table) == [] and table.find_newer(0) == []


def test_limits_survive_round_trip_through_messages():
    records = [make_record(1, 1.5), make_record(2, None), make_record(3, 0.0)]
    told = unpack_limits(pack_limits(records, 5.0), 105.0)
    assert [attrs.evolve(record, seen=0.0) for record in told] == records
    assert {record.seen for record in told} == {100.0}


RECORDS = strategies.builds(
    make_record,
    strategies.integers(1, 4),
    strategies.sampled_from(RATES),
    strategies.integers(1, 2),
)


@settings(derandomize=True, max_examples=300)
@given(strategies.lists(RECORDS, max_size=8), strategies.randoms())
def test_merge_is_independent_of_order_and_repetition(records, rng):
    first, second = LimitTable("e1"), LimitTable("e2")
    for record in records:
        first.put(record)
    again = records + records[:3]
    rng.shuffle(again)
    for record in again:
        second.put(record)
    assert list(first) == list(second)


class Model:
    """A target, entries that send to it, and updates that may be lost."""

    def __init__(self):
        self.rate = None
        self.tables = [LimitTable(f"e{n}") for n in range(ENTRIES)]
        self.answers = []

    def send(self, entry: int) -> None:
        """Send a request from an entry; its answer is queued at once."""
        known = self.tables[entry].find("i1", 1)
        self.answers.append((entry, known, make_limit(self.rate)))

    def arrive(self, place: int) -> None:
        """Deliver one of the queued answers."""
        if self.answers:
            place %= len(self.answers)
            entry, known, limit = self.answers.pop(place)
            self.tables[entry].observe("i1", 1, known, limit, 0.0)

    def tell(self, source: int, to: int) -> None:
        """Deliver the limits of one entry to another."""
        for record in self.tables[source].find_newer(0):
            self.tables[to].put(record)

    def tell_all(self) -> None:
        """Deliver the limits of every entry to all others."""
        for source in range(ENTRIES):
            for to in range(ENTRIES):
                self.tell(source, to)


STEPS = strategies.one_of(
    strategies.tuples(strategies.just("name"), strategies.sampled_from(RATES)),
    strategies.tuples(
        strategies.just("send"), strategies.integers(0, ENTRIES - 1)
    ),
    strategies.tuples(strategies.just("arrive"), strategies.integers(0, 9)),
    strategies.tuples(
        strategies.just("tell"),
        strategies.integers(0, ENTRIES - 1),
        strategies.integers(0, ENTRIES - 1),
    ),
)


@settings(derandomize=True, max_examples=300)
@given(strategies.lists(STEPS, max_size=40))
def test_entries_converge_to_limit_of_target(steps):
    # After any reordering and loss: once all queued answers are delivered and
    # shared, one more answer makes all entries agree with the target.
    model = Model()
    for name, *arguments in steps:
        if name == "name":
            (model.rate,) = arguments
        else:
            getattr(model, name)(*arguments)
    while model.answers:
        model.arrive(0)
    model.tell_all()
    model.send(0)
    model.arrive(0)
    model.tell_all()
    beliefs = {table.find_rate("i1", 1) for table in model.tables}
    assert beliefs == {model.rate}
