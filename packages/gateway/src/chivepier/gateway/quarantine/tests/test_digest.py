"""Tests of telling requests apart."""

from chivepier.gateway.quarantine import digest_request
from chivepier.gateway.quarantine import shorten


def test_teams_and_parts_are_told_apart():
    # One team could have another's request refused by a digest that is the
    # same.
    digests = {
        digest_request(team, *parts)
        for team in (None, "", "a", "b")
        for parts in ((b"x", b"yz"), (b"xy", b"z"), (b"", b"xyz"), (b"xyz",))
    }
    assert len(digests) == 16


def test_head_is_what_logs_and_settings_show():
    digest = digest_request("a", b"x")
    assert digest.startswith(shorten(digest)) and len(shorten(digest)) == 12
