"""Tests of telling the cause from what ran beside it."""

from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.suspects import find_suspects

INCARNATIONS = [Incarnation(f"i{number}", 0) for number in range(12)]


def test_two_ends_are_chance():
    assert find_suspects({"d": set(INCARNATIONS[:2])}) == set()


def test_what_met_the_same_ends_as_the_cause_goes_on():
    # A stream is sent again each time its target ends beside the cause, and
    # is lost three times; the cause has ended a fourth target meanwhile.
    ends = {"cause": set(INCARNATIONS[:4]), "beside": set(INCARNATIONS[1:4])}
    assert find_suspects(ends) == {"cause"}


def test_end_of_its_own_is_not_explained():
    # Two causes at once: what the first one has ended explains three of the
    # second one's ends, but not the one where the first one was not.
    ends = {"first": set(INCARNATIONS[:5]), "second": set(INCARNATIONS[2:6])}
    assert find_suspects(ends) == {"first", "second"}


def test_none_of_those_that_met_the_same_ends_explains_the_others():
    ends = {"one": set(INCARNATIONS[:3]), "other": set(INCARNATIONS[:3])}
    assert find_suspects(ends) == {"one", "other"}


@given(
    strategies.dictionaries(
        strategies.sampled_from("abcdefgh"),
        strategies.sets(strategies.sampled_from(INCARNATIONS)),
    )
)
def test_each_held_has_enough_ends_and_each_free_is_explained(ends):
    held = find_suspects(ends)
    for digest, incarnations in ends.items():
        if digest in held:
            assert len(incarnations) >= 3
        elif len(incarnations) >= 3:
            larger = [
                ends[h] for h in held if len(ends[h]) > len(incarnations)
            ]
            assert incarnations <= set().union(*larger)
