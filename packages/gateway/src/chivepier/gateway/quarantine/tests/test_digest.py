"""Tests of request digests."""

from chivepier.gateway.quarantine import digest_request
from chivepier.gateway.quarantine import shorten


def test_digest_distinguishes_teams_and_parts():
    # With equal digests, one team could get another team's request refused.
    digests = {
        digest_request(team, *parts)
        for team in (None, "", "a", "b")
        for parts in ((b"x", b"yz"), (b"xy", b"z"), (b"", b"xyz"), (b"xyz",))
    }
    assert len(digests) == 16


def test_short_digest_is_prefix():
    digest = digest_request("a", b"x")
    assert digest.startswith(shorten(digest)) and len(shorten(digest)) == 12
