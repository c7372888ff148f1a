"""A version in force is never undercut by a node that acts on an older."""

import datetime

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from chivepier.membership import ForceTracker
from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import ChangeCommand
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import InForceCommand
from chivepier.messages import JoinCommand
from chivepier.messages import LeaveCommand
from chivepier.messages import Member
from chivepier.state import Machine
from chivepier.state import MemberSets
from chivepier.types import Clock
from chivepier.types import ManualClock

TERMS = LeaseTerms()
NODES = 5
RATES = (1.0, 0.96, 1.04, 0.98, 1.02)


class SkewedClock(Clock):
    """Another clock's time, faster or slower by a factor."""

    def __init__(self, base: Clock, rate: float):
        self._base = base
        self._rate = rate

    def monotonic(self) -> float:
        """Return this clock's seconds."""
        return self._base.monotonic() * self._rate

    def now(self) -> datetime.datetime:
        """Return the other clock's wall time."""
        return self._base.now()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the other clock."""
        await self._base.sleep(seconds / self._rate)


@attrs.define
class Instance:
    """One node: its machine, its lease, an answer on its way to it."""

    number: int
    clock: Clock
    machine: Machine
    freshness: Freshness
    incarnation: int = 1
    on_the_way: list[tuple[float, int, int]] = attrs.field(factory=list)

    @property
    def member(self) -> Member:
        """What the instance says of itself."""
        name = f"n{self.number}"
        return Member(name, self.incarnation, name, "r", "z", "", "", False)

    def acts(self) -> bool:
        """Tell whether it takes work, as ``Cluster.ready`` does."""
        known = self.machine.members.get(f"n{self.number}")
        joined = known is not None and known.incarnation == self.incarnation
        return joined and self.freshness.fresh()


class Model:
    """A committed log, one leader at a time, and instances that lag."""

    def __init__(self, with_sets: bool = True):
        self.base = ManualClock()
        self.with_sets = with_sets
        self.log: list[Entry] = []
        self.in_force = 0
        self.nodes = [self._start(n, 1) for n in range(NODES)]
        self.elect(0)

    def _start(self, number: int, incarnation: int) -> Instance:
        clock = SkewedClock(self.base, RATES[number])
        freshness = Freshness(clock, TERMS)
        return Instance(number, clock, Machine(), freshness, incarnation)

    def elect(self, number: int) -> None:
        """Give the lead to a node that has the whole log."""
        self.leader = self.nodes[number]
        self.sync(self.leader, len(self.log))
        machine = self.leader.machine
        sets = machine.member_sets
        if not self.with_sets:
            *_, (epoch, keys) = sets
            sets = MemberSets([(0, keys)])
        self.force = ForceTracker(self.leader.clock, TERMS, sets)
        self.told = 0
        self.track()

    def track(self) -> None:
        """Do what ``Leadership`` does after each change and renewal."""
        leader = self.leader
        asked = leader.clock.monotonic()
        version = leader.machine.version
        if version > self.told:
            self.told = version
            self.force.add_version(version)
            self.acknowledge(leader)
        self.in_force = max(self.in_force, self.force.advance())
        leader.freshness.confirm(asked)
        self.check()

    def acknowledge(self, node: Instance) -> None:
        """Tell the leader what a node has."""
        name, run = f"n{node.number}", node.incarnation
        self.force.acknowledge(name, run, node.machine.version)

    def check(self) -> None:
        """Assert the invariant."""
        for node in self.nodes:
            if node.acts():
                assert node.machine.version >= self.in_force, node.number

    def commit(self, command) -> None:
        """Commit a command and apply it at the leader."""
        index = len(self.log) + 1
        self.log.append(Entry(1, index, encode(command)))
        self.sync(self.leader, index)
        self.track()

    def sync(self, node: Instance, index: int) -> None:
        """Let a node apply committed entries."""
        while node.machine.index < min(index, len(self.log)):
            node.machine.apply(self.log[node.machine.index])

    def ask(self, node: Instance) -> None:
        """Let a node renew at the leader; the answer is on its way."""
        asked = node.clock.monotonic()
        self.acknowledge(node)
        self.track()
        machine = self.leader.machine
        node.on_the_way.append((asked, machine.version, machine.index))

    def receive(self, node: Instance, catch_up: bool) -> None:
        """Deliver the oldest answer on its way."""
        if not node.on_the_way:
            return
        asked, version, index = node.on_the_way.pop(0)
        if catch_up:
            self.sync(node, index)
        if node.machine.version >= version:
            node.freshness.confirm(asked)

    def vouch(self, node: Instance, asked_nodes, delay: float) -> None:
        """Let a node renew from a majority, as ``Renewal`` does."""
        asked = node.clock.monotonic()
        members = set(node.machine.members.values())
        vouching = 1 if node.member in members else 0
        for other in asked_nodes:
            known = other.member in members and other is not node
            if known and node.machine.version >= other.machine.version:
                vouching += 1
        self.base.advance(delay)
        if vouching > len(members) // 2:
            node.freshness.confirm(asked)
        self.check()

    def settle(self) -> None:
        """Write down the epoch in force, as ``Leadership`` does."""
        epochs = [epoch for epoch, _ in self.leader.machine.member_sets]
        if len(epochs) > 1 and epochs[1] <= self.force.in_force:
            self.commit(InForceCommand(self.force.in_force))

    def restart(self, number: int) -> None:
        """Start a node anew, with nothing on it."""
        incarnation = self.nodes[number].incarnation + 1
        self.nodes[number] = self._start(number, incarnation)


def change(number: int) -> ChangeCommand:
    """Make a change of the configuration."""
    return ChangeCommand(f"c{number}", "", ())


numbers = strategies.integers(0, NODES - 1)
short = strategies.floats(0.0, 0.9)


class InForceMachine(stateful.RuleBasedStateMachine):
    """Joins, leaves, losses, delays, restarts and elections at random."""

    def __init__(self):
        super().__init__()
        self.model = Model()

    @stateful.initialize(members=strategies.integers(1, NODES))
    def found(self, members):
        """Let the first nodes join and catch up."""
        for node in self.model.nodes[:members]:
            self.model.commit(JoinCommand(node.member))
        for node in self.model.nodes:
            self.model.sync(node, len(self.model.log))

    @stateful.rule(seconds=strategies.floats(0.05, 2.5))
    def pass_time(self, seconds):
        """Let time pass and the leader look round."""
        self.model.base.advance(seconds)
        self.model.track()
        self.model.settle()

    @stateful.rule(number=numbers, delay=short, catch_up=strategies.booleans())
    def renew(self, number, delay, catch_up):
        """Renew at the leader, the answer coming late."""
        node = self.model.nodes[number]
        self.model.ask(node)
        self.model.base.advance(delay)
        self.model.receive(node, catch_up)
        self.model.check()

    @stateful.rule(group=strategies.sets(numbers, min_size=2))
    def renew_group(self, group):
        """Let all that the leader reaches renew at once."""
        for number in sorted(group):
            node = self.model.nodes[number]
            self.model.ask(node)
            self.model.receive(node, True)
            self.model.ask(node)
            self.model.receive(node, True)
        self.model.check()

    @stateful.rule(number=numbers)
    def ask(self, number):
        """Renew; the answer stays on its way."""
        self.model.ask(self.model.nodes[number])

    @stateful.rule(number=numbers, catch_up=strategies.booleans())
    def receive(self, number, catch_up):
        """Deliver an answer."""
        self.model.receive(self.model.nodes[number], catch_up)
        self.model.check()

    @stateful.rule(
        group=strategies.sets(numbers, min_size=1),
        delay=strategies.floats(0.0, 0.4),
    )
    def vouch(self, group, delay):
        """Let a part of the nodes renew among themselves."""
        nodes = [self.model.nodes[n] for n in sorted(group)]
        for node in nodes:
            self.model.vouch(node, nodes, delay)

    @stateful.rule(number=numbers, count=strategies.integers(1, 4))
    def sync(self, number, count):
        """Let a node apply some entries."""
        node = self.model.nodes[number]
        self.model.sync(node, node.machine.index + count)

    @stateful.rule()
    def change(self):
        """Commit a change of the configuration."""
        self.model.commit(change(len(self.model.log)))

    @stateful.rule(number=numbers)
    def join(self, number):
        """Let a node join."""
        self.model.commit(JoinCommand(self.model.nodes[number].member))

    @stateful.rule(number=numbers)
    def leave(self, number):
        """Remove a node."""
        member = self.model.nodes[number].member
        if self.model.nodes[number] is not self.model.leader:
            command = LeaveCommand(member.node, member.incarnation)
            self.model.commit(command)

    @stateful.rule(number=numbers)
    def restart(self, number):
        """Start a node that doesn't lead anew."""
        if self.model.nodes[number] is not self.model.leader:
            self.model.restart(number)

    @stateful.rule(number=numbers)
    def elect(self, number):
        """Change the leader."""
        self.model.elect(number)


InForceMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=60,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestInForce = InForceMachine.TestCase


def play_old_majority(model: Model) -> None:
    """Cut off a majority of an old set, grow the set, change the leader."""
    old = model.nodes[:3]
    for node in old:
        model.commit(JoinCommand(node.member))
    for node in old:
        model.sync(node, len(model.log))
        model.ask(node)
        model.receive(node, True)
    for _ in range(4):
        model.base.advance(TERMS.renew)
        model.track()
        model.settle()
    cut = old[1:]
    for node in model.nodes[3:]:
        model.commit(JoinCommand(node.member))
        model.sync(node, len(model.log))
        model.ask(node)
    model.commit(change(1))
    model.elect(3)
    for _ in range(20):
        model.base.advance(TERMS.renew / 2)
        for node in cut:
            model.vouch(node, cut, 0.0)
        for node in (model.nodes[0], model.nodes[4]):
            model.sync(node, len(model.log))
            model.ask(node)
            model.receive(node, True)
        model.track()


def test_majority_of_an_older_set_holds_a_new_leader_back():
    """Two of three members are cut off; two others join; the leader dies.

    The two go on renewing from each other: they are a majority of the set
    they know.  A new leader that counts only the newest set calls a change
    in force, the operator is told so, and the two serve by the old one.
    """
    model = Model()
    play_old_majority(model)
    assert model.in_force < model.leader.machine.version


def test_newest_set_alone_would_call_it_in_force():
    """The same without the older sets: the invariant breaks."""
    model = Model(with_sets=False)
    broken = False
    try:
        play_old_majority(model)
    except AssertionError:
        broken = True
    assert broken


def found_three() -> Model:
    """Three members, all up to date and settled."""
    model = Model()
    for node in model.nodes[:3]:
        model.commit(JoinCommand(node.member))
    for _ in range(3):
        for node in model.nodes[:3]:
            model.sync(node, len(model.log))
            model.ask(node)
            model.receive(node, True)
        model.track()
        model.settle()
    assert model.in_force == model.leader.machine.version
    return model


def wait_in_force(model: Model, step: float) -> None:
    """Let two of three acknowledge, and time pass until it is in force."""
    version = model.leader.machine.version
    other = model.nodes[2]
    model.sync(other, len(model.log))
    while model.in_force < version:
        model.ask(other)
        model.receive(other, True)
        model.base.advance(step)
        model.track()


def test_answer_that_came_late_does_not_prolong_a_lease():
    """A node asks; a change is committed; the old answer arrives late.

    Counted from its arrival, the lease would outlast the leader's wait, and
    the node would serve by the old configuration after the operator was
    told that the new one is in force.
    """
    model = found_three()
    slow = model.nodes[1]
    model.ask(slow)
    model.commit(change(1))
    model.sync(model.nodes[2], len(model.log))
    model.ask(model.nodes[2])
    model.base.advance(TERMS.lease / 2)
    model.receive(slow, False)
    assert slow.acts()
    wait_in_force(model, 0.01)
    assert not slow.acts()


def test_node_whose_clock_is_slow_is_waited_out():
    """A node's clock runs 4% slow; it renews just before a change.

    Its lease lasts longer than 2 s of the leader's time; the margin in
    ``outlast`` covers it.
    """
    model = found_three()
    slow = model.nodes[1]
    model.ask(slow)
    model.receive(slow, True)
    model.commit(change(1))
    wait_in_force(model, 0.001)
    assert not slow.acts()
