"""Tests of the configuration as requests use it."""

import hashlib

import pytest

from chivepier.documents import Grant
from chivepier.documents import pack_spec
from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.node.directory import CACHED
from chivepier.node.directory import Directory
from chivepier.state import Machine
from chivepier.types import ErrorKind
from chivepier.types import RequestError


def make_team(key, **grants):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return pack_spec(Team(key_sha256=(digest,), grants=grants))


def change(machine, kind, name, spec):
    known = machine.documents.get((kind, name))
    base = known.version if known else 0
    index = machine.index + 1
    edits = (Edit(kind, name, base, spec),)
    command = ChangeCommand(f"change-{index}", "op", edits)
    answer = machine.apply(Entry(1, index, encode(command)))
    assert not answer.error


def refused_as(directory, key):
    with pytest.raises(RequestError) as caught:
        directory.find_team(f"Bearer {key}")
    return caught.value.failure.kind


def test_replaced_key_stops_working_and_the_new_one_works():
    machine = Machine()
    directory = Directory(machine)
    change(machine, "team", "a", make_team("old"))
    assert directory.find_team("Bearer old") == "a"
    change(machine, "team", "a", make_team("new"))
    assert refused_as(directory, "old") is ErrorKind.UNAUTHORIZED
    assert directory.find_team("Bearer new") == "a"


def test_removed_team_is_refused():
    machine = Machine()
    directory = Directory(machine)
    change(machine, "team", "a", make_team("k"))
    directory.find_team("Bearer k")
    change(machine, "team", "a", None)
    assert refused_as(directory, "k") is ErrorKind.UNAUTHORIZED


def test_change_is_followed_without_decoding_the_other_teams(monkeypatch):
    # A change of one team held up a node's streams while all were decoded.
    machine = Machine()
    directory = Directory(machine)
    for number in range(50):
        change(machine, "team", f"t{number}", make_team(f"k{number}"))
    directory.find_team("Bearer k0")
    seen = []
    original = Directory._index_keys
    monkeypatch.setattr(
        Directory,
        "_index_keys",
        lambda self, name: (seen.append(name), original(self, name)),
    )
    change(machine, "team", "t7", make_team("k7-new"))
    assert directory.find_team("Bearer k7-new") == "t7"
    assert seen == ["t7"]


def test_state_from_a_snapshot_far_ahead_is_read_whole():
    # Following the history alone would keep a removed team's key working.
    far = Machine()
    change(far, "team", "a", make_team("k"))
    behind = Machine()
    behind.restore(far.take_snapshot())
    directory = Directory(behind)
    directory.find_team("Bearer k")
    change(far, "team", "a", None)
    for number in range(far.history.maxlen + 1):
        change(far, "team", "b", make_team(f"other{number}"))
    behind.restore(far.take_snapshot())
    assert refused_as(directory, "k") is ErrorKind.UNAUTHORIZED


def test_team_meets_only_its_own_templates():
    machine = Machine()
    directory = Directory(machine)
    change(machine, "template", "t", pack_spec(Template(pool="p")))
    change(machine, "team", "a", make_team("ka", t=Grant()))
    change(machine, "team", "b", make_team("kb"))
    assert directory.find_service("a", "t").team == "a"
    with pytest.raises(RequestError) as caught:
        directory.find_service("b", "t")
    assert caught.value.failure.kind is ErrorKind.FORBIDDEN


def test_index_of_keys_stays_bounded_over_many_changes():
    # Old keys stay in the index until it is read anew; without a bound, a
    # team whose key is replaced every minute would fill a node's memory.
    machine = Machine()
    directory = Directory(machine)
    for number in range(2 * CACHED + 10):
        change(machine, "team", "a", make_team(f"k{number}"))
        directory.find_team(f"Bearer k{number}")
    assert len(directory._teams_by_key) <= CACHED + 2
