"""Members that a later run has replaced."""

from chivepier.membership import ForceTracker
from chivepier.membership import LeaseTerms
from chivepier.messages import Member
from chivepier.state import MemberSets
from chivepier.types import ManualClock


def make_member(number: int, run: int, node: str = "") -> Member:
    """Make a run of an instance at its own address."""
    node = node or f"n{number}"
    address = f"127.0.0.1:{number}"
    return Member(node, run, node, "r", "z", address, address, False)


def is_in_force(before: list[Member], after: list[Member]) -> bool:
    """Tell whether a version is in force that only ``after`` have."""
    sets = MemberSets()
    sets.add(1, before)
    sets.add(2, after)
    sets = MemberSets.unpack(sets.pack())
    clock, terms = ManualClock(), LeaseTerms()
    tracker = ForceTracker(clock, terms, sets)
    tracker.add_version(2)
    for member in after:
        tracker.acknowledge(member.node, member.incarnation, 2)
    tracker.advance()
    clock.advance(2 * terms.outlast)
    return tracker.advance() == 2


def test_changes_are_in_force_again_after_all_instances_restarted():
    """All instances restart at once: with and without data folders.

    The runs before never acknowledge.  Counted as a majority that may still
    renew each other's leases, they kept every later change from being in
    force.  A later run at the same address or with the same identity proves
    that they are dead.
    """
    before = [make_member(n, 1) for n in range(3)]
    same_folder = [make_member(n, 2) for n in range(3)]
    assert is_in_force(before, same_folder)
    without_disk = [make_member(n, 2, f"other{n}") for n in range(3)]
    assert is_in_force(before, without_disk)


def test_silent_members_that_nobody_replaced_are_waited_for():
    """Two of three may live on, cut off, and renew each other's leases."""
    before = [make_member(n, 1) for n in range(3)]
    assert not is_in_force(before, before[:1])


def test_members_of_earlier_sets_that_hold_a_version_back_are_named():
    # The operator was told that it waits for nobody, without a name.
    before = [make_member(n, 1) for n in range(3)]
    sets = MemberSets()
    sets.add(1, before)
    sets.add(2, before[:1])
    tracker = ForceTracker(ManualClock(), LeaseTerms(), sets)
    tracker.add_version(2)
    tracker.acknowledge("n0", 1, 2)
    assert tracker.advance() == 0
    assert tracker.lagging() == ["n1", "n2"]
