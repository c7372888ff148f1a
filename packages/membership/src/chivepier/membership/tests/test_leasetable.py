"""The leader's table of leases."""

from chivepier.membership import LeaseTable
from chivepier.membership import LeaseTerms
from chivepier.messages import Member
from chivepier.types import ManualClock

TERMS = LeaseTerms()


def make_member(node):
    return Member(node, 1, node, "r", "z", f"{node}:1", f"{node}:2", False)


def test_member_that_joined_late_is_not_removed_at_once():
    """A node renews, and its join is committed a moment later.

    The operator sees an instance join and be removed, again and again.  In
    between the leader looked at the table and forgot the renewal, because
    its sender was no member yet; then it counted from its own start.
    """
    clock = ManualClock()
    table = LeaseTable(clock, TERMS)
    joiner = make_member("b")
    for _ in range(20):
        clock.advance(0.5)
        assert table.expired([]) == []
    table.hear(joiner)
    assert table.expired([]) == []
    assert table.expired([joiner]) == []


def test_leader_that_was_paused_removes_nobody_at_once():
    """The leader is stopped for longer than every lease, then continued.

    All instances would be removed together, and every shard would move.
    The leader heard nobody because it did not listen.
    """
    clock = ManualClock()
    table = LeaseTable(clock, TERMS)
    member = make_member("b")
    table.hear(member)
    assert table.expired([member]) == []
    clock.advance(TERMS.expiry * 3)
    assert table.expired([member]) == []


def test_silent_member_is_removed():
    """A member that stops renewing is removed after its expiry."""
    clock = ManualClock()
    table = LeaseTable(clock, TERMS)
    member = make_member("b")
    table.hear(member)
    passed = 0.0
    while not table.expired([member]):
        clock.advance(0.5)
        passed += 0.5
    assert TERMS.expiry < passed <= TERMS.expiry + 0.5
