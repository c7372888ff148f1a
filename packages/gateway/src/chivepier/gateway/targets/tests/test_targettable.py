"""Tests of merging late, repeated and reordered announcements."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

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


def test_warm_target_relayed_by_another_node_stays_warm():
    # Its warm-up end, 0, was decoded as the time of the message. Every message
    # then counted as a change and was sent to all entries at once.
    record = pack_target(make(heard=5.0), 6.0)
    table = TargetTable(1.0)
    table.put(unpack_target(record, 100.0))
    again = pack_target(make(number=2, heard=7.0), 8.0)
    assert not table.put(unpack_target(again, 102.0))


def test_late_announcement_does_not_bring_an_instance_back():
    # A network partition delayed an announcement until after the target had
    # left, so the target got new requests.
    table = TargetTable(1.0)
    table.put(make(number=3, state=LEAVING))
    assert not table.put(make(number=2))
    assert not table.select("s", 0.0)


@pytest.mark.parametrize("versions", [("v1", ""), ("", "v1"), ("v1", "v1")])
@pytest.mark.parametrize("number", (1, 2))
def test_version_of_software_is_kept_when_a_relay_drops_it(versions, number):
    # A voter of an earlier release relays announcements without the version.
    table = TargetTable(1.0)
    for sequence, version in zip((1, number), versions):
        target = make(number=sequence)
        target.software_version = version
        table.put(target)
    assert table.get("i1").software_version == "v1"


def test_version_of_software_is_that_of_the_incarnation():
    # The next incarnation under a name may run other software, or tell none.
    table = TargetTable(1.0)
    for born, version in ((1, "v1"), (2, "v2"), (3, "")):
        target = make(born=born)
        target.software_version = version
        table.put(target)
        assert table.get("i1").software_version == version


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
    # An entry was cut off from every voter. All its targets became silent at
    # once, and it rejected requests although the targets were healthy.
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.put(make("i2", heard=0.5))
    found = {t.instance for t in table.select("s", 20.0)}
    assert found == {"i1", "i2"}


def test_silence_counts_only_while_reports_cover_it():
    # Guards against targets that are left out for what was not listened to.
    table = TargetTable(1.0)
    table.put(make("i1", heard=0.0))
    table.put(make("i2", heard=0.0))
    silent = table.get("i1")
    table.note_update(1.0, continues=True)
    table.mark_alive(("i2",), 20.0)
    assert not table.is_silent(silent, 20.0)
    # another voter's first report
    table.note_update(20.0, continues=False)
    assert not table.is_silent(silent, 20.0)
    table.mark_alive(("i2",), 24.0)
    table.note_update(24.0, continues=True)
    assert table.is_silent(silent, 24.0)


def test_replaced_instance_is_known_by_its_address():
    table = TargetTable(1.0)
    table.put(make("i1"))
    table.mark_gone("i1", "other:1")
    assert table.select("s", 0.0)
    table.mark_gone("i1", "a:1")
    assert not table.select("s", 0.0)


def test_watchers_are_called_once_per_change():
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
def test_any_order_with_repeats_ends_in_the_newest_state(states, shuffler):
    # Nodes that get the same announcements in different orders must agree on
    # whether a target accepts new requests.
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


def test_target_restarted_under_its_name_is_used():
    # The announcements of a restarted target were dropped as old.
    table = TargetTable(1.0)
    ended = []
    table.restart_watchers.append(lambda target: ended.append(target.born))
    table.put(make(number=9, born=100))
    assert table.put(make(number=1, born=200, address="b:1"))
    assert [t.address for t in table.select("s", 0.0)] == ["b:1"]
    assert ended == [100]


def test_target_that_left_may_start_again():
    # An instance that had left stayed gone for a minute, even if it was
    # restarted under the same name.
    table = TargetTable(1.0)
    table.put(make(number=9, state=GONE, born=100))
    table.put(make(number=1, born=200))
    assert table.select("s", 0.0)


def test_earlier_incarnation_does_not_affect_a_later_one():
    # A late announcement of the previous incarnation, with a higher number,
    # removed the restarted target.
    table = TargetTable(1.0)
    table.put(make(number=1, born=200))
    assert not table.put(make(number=50, state=GONE, born=100))
    assert not table.put(make(number=51, born=100, address="b:1"))
    assert [t.address for t in table.select("s", 0.0)] == ["a:1"]


def test_request_to_an_earlier_incarnation_is_not_current():
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


def test_outdated_leaving_announcement_still_applies():
    # A ready announcement with a higher number had arrived by another path.
    table = TargetTable(1.0)
    table.put(make(number=5))
    assert table.put(make(number=4, state=LEAVING))
    assert table.is_leaving("i1") and not table.select("s", 0.0)
    assert table.get("i1").number == 5


def test_target_that_left_and_was_forgotten_does_not_become_ready():
    # An entry that was cut off did not hear of the target and dropped it.
    table = TargetTable(1.0)
    table.put(make(number=5))
    table.mark_leaving("i1", 0, 1.0)
    table.expire(35.0)
    assert table.get("i1") is None
    table.put(make(number=6, heard=40.0))
    assert table.is_leaving("i1")


def test_record_of_targets_that_left_expires():
    table = TargetTable(1.0)
    table.mark_leaving("i1", 0, 1.0)
    table.expire(62.0)
    table.put(make(number=6, heard=62.0))
    assert not table.is_leaving("i1")
