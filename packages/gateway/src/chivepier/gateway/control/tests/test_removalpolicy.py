"""Tests of which vote is taken."""

import pytest

from chivepier.gateway.control.removalpolicy import RemovalPolicy
from chivepier.gateway.control.removalreason import RemovalReason
from chivepier.gateway.control.voterhealth import VoterHealth
from chivepier.messages import Voter


def make(name: str, **fields) -> VoterHealth:
    """Make a voter's health."""
    return VoterHealth(voter=Voter(name, name), **fields)


def make_sound(count: int) -> list[VoterHealth]:
    """Make voters that answer and hold all that is committed."""
    return [make(f"v{number}") for number in range(count)]


@pytest.mark.parametrize(
    ("sound", "tolerated", "reason"),
    (
        (2, 1, RemovalReason.TOO_FEW),
        (3, 1, RemovalReason.SPARE),
        (4, 1, RemovalReason.SPARE),
        (4, 2, RemovalReason.BEARS_LESS),
        (4, None, RemovalReason.BEARS_LESS),
        (5, 2, RemovalReason.SPARE),
        (6, 2, RemovalReason.SPARE),
        (6, 3, RemovalReason.BEARS_LESS),
    ),
)
def test_silent_voter_goes_only_where_it_is_spare(sound, tolerated, reason):
    # Guards against fewer losses borne than before.
    silent = make("gone", silent=10.0, behind=9.0)
    removal = RemovalPolicy(tolerated).choose([*make_sound(sound), silent])
    assert removal.reason is reason
    assert (removal.voter == silent.voter) == (reason is RemovalReason.SPARE)


def test_voter_that_answers_and_lags_keeps_a_spare_vote():
    # Guards against taking the vote of a slow disk under many changes.
    lagging = make("slow", silent=0.1, behind=60.0)
    removal = RemovalPolicy().choose([*make_sound(3), lagging])
    assert removal.voter is None


def test_voter_that_stops_goes_before_one_that_is_silent():
    # Guards against taking the vote of a stalled disk in place of one that
    # does not come back.
    stalled, stops = make("stalled", silent=9.0), make("stops", stops=True)
    removal = RemovalPolicy().choose([*make_sound(4), stalled, stops])
    assert removal.voter == stops.voter


def test_voter_that_was_silent_for_a_moment_keeps_its_vote():
    silent = make("paused", silent=1.2)
    removal = RemovalPolicy().choose([*make_sound(3), silent])
    assert removal.voter is None
    assert removal.reason is RemovalReason.WAITS
