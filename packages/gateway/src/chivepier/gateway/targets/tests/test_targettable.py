"""Tests of merging announcements that come late, twice and crossed."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chivepier.gateway.following import pack_target
from chivepier.gateway.following import unpack_target
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable

READY, LEAVING, GONE = TargetState


def make(
    instance="i1",
    state=READY,
    number=1,
    heard=0.0,
    address="a:1",
    zone="z",
    born=0,
):
    """Make an announcement."""
    return Target(
        instance=instance,
        service="s",
        address=address,
        zone=zone,
        state=state,
        number=number,
        slots=4,
        heard=heard,
        born=born,
    )


def test_warm_target_told_by_another_node_has_not_become_cold():
    # Its time to be warm, 0, came as the moment of the message; each telling
    # was news, and went to all entries at once.
    record = pack_target(make(heard=5.0), 6.0)
    table = TargetTable(1.0)
    table.put(unpack_target(record, 100.0))
    again = pack_target(make(number=2, heard=7.0), 8.0)
    assert not table.put(unpack_target(again, 102.0))


def test_late_announcement_does_not_bring_an_instance_back():
    # New work went to a target that had left: an announcement from before
    # was delayed by a cut and came after its farewell.
    table = TargetTable(1.0)
    table.put(make(number=3, state=LEAVING))
    assert not table.put(make(number=2))
    assert not table.select("s", 0.0)


def test_instance_that_leaves_does_not_become_ready_again():
    table = TargetTable(1.0)
    table.put(make(number=1, state=LEAVING))
    table.put(make(number=2, state=READY))
    assert not table.select("s", 0.0)
    table.put(make(number=3, state=GONE))
    table.put(make(number=4, state=READY))
    assert table.get("i1").state is GONE


def test_silent_targets_are_left_out_while_others_are_heard():
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.put(make("i2", heard=5.0))
    assert [t.instance for t in table.select("s", 5.0)] == ["i2"]


def test_all_are_kept_when_none_is_heard():
    # The entry was cut off from every voter; all its targets fell silent at
    # once, and it refused its callers though the targets were well.
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.put(make("i2", heard=0.5))
    found = {t.instance for t in table.select("s", 20.0)}
    assert found == {"i1", "i2"}


def test_replaced_instance_is_known_by_its_address():
    table = TargetTable(1.0)
    table.put(make("i1"))
    table.mark_gone("i1", "other:1")
    assert table.select("s", 0.0)
    table.mark_gone("i1", "a:1")
    assert not table.select("s", 0.0)


def test_watchers_hear_each_change_once():
    table = TargetTable(1.0)
    seen = []
    table.watchers.append(lambda t, before: seen.append((t.state, before)))
    for announcement in (
        make(number=1),
        make(number=1),
        make(number=2, state=LEAVING),
        make(number=2, state=LEAVING),
    ):
        table.put(announcement)
    assert seen == [(READY, None), (LEAVING, READY)]


def test_long_silent_targets_are_forgotten():
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.expire(29.0)
    assert table.get("i1")
    table.expire(31.0)
    assert table.get("i1") is None


STATES = strategies.lists(
    strategies.sampled_from([READY, READY, LEAVING, GONE]),
    min_size=1,
    max_size=4,
)


@settings(derandomize=True, max_examples=200)
@given(STATES, strategies.randoms(use_true_random=False))
def test_any_order_with_repeats_ends_no_earlier_than_the_newest(
    states, shuffler
):
    # Nodes that got the same announcements in another order must not differ
    # on whether a target takes new work.
    order = {READY: 0, LEAVING: 1, GONE: 2}
    ranks = itertools.accumulate((order[s] for s in states), max)
    told = [
        make(number=number, state=list(TargetState)[rank])
        for number, rank in enumerate(ranks, 1)
    ]
    expected = told[-1].state
    shuffled = [make(number=t.number, state=t.state) for t in told * 2]
    shuffler.shuffle(shuffled)
    table = TargetTable(1.0)
    for announcement in shuffled:
        table.put(announcement)
    assert table.get("i1").state is expected


def test_target_that_starts_again_under_its_name_is_used():
    # The words of a target that had started again were dropped as old.
    table = TargetTable(1.0)
    ended = []
    table.restart_watchers.append(lambda target: ended.append(target.born))
    table.put(make(number=9, born=100))
    assert table.put(make(number=1, born=200, address="b:1"))
    assert [t.address for t in table.select("s", 0.0)] == ["b:1"]
    assert ended == [100]


def test_target_that_left_may_start_again():
    # An instance that had said farewell stayed dead for a minute, also when
    # it was started again under its name.
    table = TargetTable(1.0)
    table.put(make(number=9, state=GONE, born=100))
    table.put(make(number=1, born=200))
    assert table.select("s", 0.0)


def test_earlier_life_does_not_speak_for_a_later_one():
    # An announcement of the life before came late, with a higher number, and
    # took out the target that had started since.
    table = TargetTable(1.0)
    table.put(make(number=1, born=200))
    assert not table.put(make(number=50, state=GONE, born=100))
    assert not table.put(make(number=51, born=100, address="b:1"))
    assert [t.address for t in table.select("s", 0.0)] == ["a:1"]


def test_what_was_sent_to_an_earlier_life_is_told_apart():
    table = TargetTable(1.0)
    table.put(make(born=100))
    sent_to = table.get("i1")
    assert table.is_current(sent_to)
    table.put(make(born=200))
    assert not table.is_current(sent_to)
    assert sent_to.state is GONE


def test_targets_that_are_heard_again_stay_in_use():
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.put(make("i2", heard=0.0))
    table.mark_alive(("i2", "unknown"), 5.0)
    assert [t.instance for t in table.select("s", 5.0)] == ["i2"]
    table.mark_alive(("i2",), 4.0)
    assert table.get("i2").heard == 5.0


def test_word_of_leaving_that_was_overtaken_still_counts():
    # A ready announcement with a later number had come by another way.
    table = TargetTable(1.0)
    table.put(make(number=5))
    assert table.put(make(number=4, state=LEAVING))
    assert table.is_leaving("i1") and not table.select("s", 0.0)
    assert table.get("i1").number == 5


def test_target_that_left_and_was_forgotten_does_not_become_ready():
    # An entry that was cut off heard nothing of it, and forgot it.
    table = TargetTable(1.0)
    table.put(make(number=5))
    table.mark_leaving("i1", 0, 1.0)
    table.expire(35.0)
    assert table.get("i1") is None
    table.put(make(number=6, heard=40.0))
    assert table.is_leaving("i1")


def test_memory_of_targets_that_left_ends():
    table = TargetTable(1.0)
    table.mark_leaving("i1", 0, 1.0)
    table.expire(62.0)
    table.put(make(number=6, heard=62.0))
    assert not table.is_leaving("i1")
