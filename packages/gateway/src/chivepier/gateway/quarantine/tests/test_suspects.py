"""Tests of telling the cause from requests that ran beside it."""

from hypothesis import given
from hypothesis import strategies

from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.suspects import find_suspects

INCARNATIONS = [Incarnation(f"i{number}", 0) for number in range(12)]


def test_two_endings_are_not_enough():
    assert find_suspects({"d": set(INCARNATIONS[:2])}) == set()


def test_request_beside_cause_is_not_suspected():
    # An innocent stream is retried beside the cause and lost three times; the
    # cause has ended a fourth target in the meantime.
    endings = {
        "cause": set(INCARNATIONS[:4]),
        "beside": set(INCARNATIONS[1:4]),
    }
    assert find_suspects(endings) == {"cause"}


def test_second_cause_with_own_ending_is_suspected():
    # Two causes at once: the first explains three endings of the second, but
    # not the one at which it was not present.
    endings = {
        "first": set(INCARNATIONS[:5]),
        "second": set(INCARNATIONS[2:6]),
    }
    assert find_suspects(endings) == {"first", "second"}


def test_requests_with_equal_endings_are_all_suspected():
    endings = {"one": set(INCARNATIONS[:3]), "other": set(INCARNATIONS[:3])}
    assert find_suspects(endings) == {"one", "other"}


@given(
    strategies.dictionaries(
        strategies.sampled_from("abcdefgh"),
        strategies.sets(strategies.sampled_from(INCARNATIONS)),
    )
)
def test_suspects_have_enough_endings_and_cover_all_others(endings):
    held = find_suspects(endings)
    for digest, incarnations in endings.items():
        if digest in held:
            assert len(incarnations) >= 3
        elif len(incarnations) >= 3:
            larger = [
                endings[h] for h in held if len(endings[h]) > len(incarnations)
            ]
            assert incarnations <= set().union(*larger)
