"""Which addresses a caller is told first."""

import collections

from chivepier.messages import Member
from chivepier.node.addresses import spread_members

MEMBERS = [
    Member(f"n{i}", 1, f"n{i}", "r", "abc"[i % 3], f"n{i}:80", "", False)
    for i in range(9)
]


def test_own_zone_comes_first():
    """A caller in zone b connects within its zone while that serves."""
    found = spread_members(MEMBERS, "b", "caller")
    assert [m.zone for m in found][:3] == ["b"] * 3
    assert sorted(m.node for m in found) == sorted(m.node for m in MEMBERS)


def test_callers_are_spread():
    """Callers that ask at once don't all meet the same instance.

    Of 900 callers without a zone, each of nine instances is the first for
    some 100; none for more than twice its part.
    """
    first = collections.Counter(
        spread_members(MEMBERS, "", f"caller-{i}")[0].node for i in range(900)
    )
    assert len(first) == len(MEMBERS)
    assert max(first.values()) < 200
