"""Owners and entries together, over links that a test holds in hand."""

import asyncio

import attrs
import pytest

from chivepier.membership import find_owner
from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import AdoptRequest
from chivepier.messages import Announcement
from chivepier.messages import CancelReport
from chivepier.messages import ConfirmRequest
from chivepier.messages import DeathRequest
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.messages import InflightRequest
from chivepier.messages import JoinCommand
from chivepier.messages import LeaveCommand
from chivepier.messages import Member
from chivepier.messages import PermitRequest
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.messages import StopOrder
from chivepier.messages import TakeoverRequest
from chivepier.messages import TargetLoad
from chivepier.node.cluster import Cluster
from chivepier.node.deadmembers import DeadMembers
from chivepier.node.directory import Directory
from chivepier.node.owner import Owner
from chivepier.node.peerwatch import PeerWatch
from chivepier.node.permits import PERMIT_SECONDS
from chivepier.node.permits import Permits
from chivepier.node.settings import Settings
from chivepier.policy import Stop
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.types import ErrorKind
from chivepier.types import ManualClock
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.wire import LinkError

POOL = "p"


def make_settings(name):
    """Settings of a node without a disk."""
    return Settings(
        name=name,
        region="r",
        zone="z",
        listen="",
        peer_listen="",
        advertise="",
        peer_advertise="",
        seeds=(),
        data_dir=None,
        cluster_key="",
        operator_key="",
        deployment_key="",
        address_ttl=1.0,
        fault_hook=False,
    )


class Node:
    """One node's entry and owner; ``gate`` may hold its messages up."""

    def __init__(self, name, world):
        self.world = world
        self.cluster = Cluster(
            settings=make_settings(name),
            clock=world.clock,
            identity=Identity(name),
            incarnation=1,
            terms=LeaseTerms(),
            machine=Machine(),
            freshness=Freshness(world.clock, LeaseTerms()),
            links=self,
            peer_address=f"{name}:1",
        )
        self.cluster.watch = PeerWatch(self.cluster)
        self.cluster.dead = DeadMembers(self.cluster)
        self.owner = Owner(self.cluster, Directory(self.cluster.machine))
        self.permits = Permits(self.cluster, self.owner)
        self.owner.tell_stop = self.permits.handle_stop
        self.owner.tell_inflight = self.permits.handle_takeover

    async def request(self, peer, value, timeout):
        """Ask another node, as ``Links`` does."""
        if peer in self.world.ended:
            raise LinkError("refused", sent=False, refused=True)
        if peer in self.world.silent:
            raise LinkError("silent", sent=True)
        answer = self.world.at(peer).handle(value)
        if asyncio.isfuture(answer):
            answer = await answer
        await self.world.gate(value)
        return answer

    async def send(self, peer, value):
        """Post to another node, as ``Links`` does."""
        if peer in self.world.ended | self.world.silent:
            return
        self.world.at(peer).handle(value)

    def handle(self, value):
        """Route a message, as the node does."""
        match value:
            case PermitRequest():
                return self.owner.handle_permit(value)
            case ConfirmRequest():
                return self.owner.handle_confirm(value)
            case AdoptRequest():
                return self.owner.handle_adopt(value)
            case Announcement():
                return self.owner.handle_announcement(value)
            case CancelReport():
                return self.owner.handle_cancel(value)
            case ReleaseReport():
                return self.owner.handle_release(value)
            case ProgressReport():
                return self.owner.handle_progress(value)
            case TakeoverRequest():
                return self.permits.handle_takeover(value)
            case InflightRequest():
                return self.permits.handle_inflight(value)
            case StopOrder():
                return self.permits.handle_stop(value)
            case DeathRequest():
                return asyncio.ensure_future(
                    self.cluster.dead.handle_death(value)
                )
            case FreshRequest():
                return FreshAnswer(self.cluster.identity.node, 1, 0)
        raise LinkError(f"not routed: {value}", sent=True)


class World:
    """Nodes that share a clock and a log; joining orders the owners."""

    def __init__(self, *names):
        self.clock = ManualClock()
        self.log = []
        self.ended = set()
        self.silent = set()
        self.nodes = {}
        for name in names:
            self.join(name)

    async def gate(self, value):
        """Let an answer pass; a test replaces it."""

    def at(self, peer):
        """Return the node at a peer address."""
        return self.nodes[peer.partition(":")[0]]

    def join(self, name):
        """Start a node and let it join."""
        node = self.nodes[name] = Node(name, self)
        self.commit(JoinCommand(node.cluster.me))
        return node

    def commit(self, command, apply=True):
        """Commit a command, and apply it everywhere unless told not to."""
        self.log.append(Entry(1, len(self.log) + 1, encode(command)))
        if apply:
            for node in self.nodes.values():
                self.sync(node)

    def sync(self, node):
        """Let a node apply what is committed, in one batch."""
        machine = node.cluster.machine
        for entry in self.log[machine.index :]:
            machine.apply(entry)

    def renew(self):
        """Renew all leases, with all that is committed in force."""
        for node in self.nodes.values():
            node.cluster.freshness.confirm(self.clock.monotonic())
            node.cluster.in_force = len(self.log)


def names_in_order():
    """Return three names of nodes, the likeliest owner last."""
    members = [
        Member(n, 1, n, "r", "z", "", f"{n}:1", False) for n in "abcdefgh"
    ]
    ranked = []
    while len(ranked) < 3:
        best = find_owner(POOL, 0, members)
        members.remove(best)
        ranked.insert(0, best.node)
    return ranked


def make_announcement(sequence=1, leaving=False):
    """Announce an engine with two streams."""
    load = TargetLoad(0, 0, 0, 0)
    return Announcement(
        "t",
        1,
        sequence,
        "engine",
        POOL,
        "t:1",
        "z",
        ("m",),
        (),
        "serve",
        False,
        1000,
        2,
        load,
        (),
        leaving,
    )


def make_request(node, patience=30.0):
    """Ask for model m, as the node's entry."""
    return PermitRequest(
        node.permits.name_request(),
        POOL,
        0,
        "team",
        "template",
        "m",
        "",
        1,
        10,
        10,
        (),
        "z",
        node.cluster.peer_address,
        patience,
        (),
    )


async def settle(condition):
    """Let the loop run until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0)


async def start_shard(world, owner):
    """Let a node own the pool's shard and open it."""
    world.renew()
    owner.owner.handle_announcement(make_announcement())
    await settle(lambda: owner.owner.shards[(POOL, 0)].opened)
    return owner.owner.shards[(POOL, 0)]


def test_owner_waits_until_its_epoch_is_in_force():
    """A node joins and owns a shard; one member has not applied that yet.

    The earlier owner may still admit to the same engines.  The new one
    takes requests in, and grants once the epoch is in force.
    """

    async def body():
        low, high, _ = names_in_order()
        world = World(low)
        world.renew()
        owner = world.join(high)
        owner.cluster.freshness.confirm(0.0)
        owner.cluster.in_force = len(world.log) - 1
        owner.owner.handle_announcement(make_announcement())
        future = owner.owner.handle_permit(make_request(owner))
        for _ in range(5):
            await asyncio.sleep(0.01)
        assert not future.done()
        world.renew()
        answer = await asyncio.wait_for(future, 5)
        assert answer.target == "t"

    asyncio.run(body())


def test_old_owner_stops_as_it_applies_the_epoch():
    """A node joins and owns a shard that had another owner."""

    async def body():
        low, high, _ = names_in_order()
        world = World(low)
        old = world.nodes[low]
        shard = await start_shard(world, old)
        for _ in range(2):
            old.owner.handle_permit(make_request(old))
        waiting = old.owner.handle_permit(make_request(old))
        world.join(high)
        assert shard.closed
        assert waiting.result().error == "not_ready"

    asyncio.run(body())


def test_shard_that_was_lost_and_regained_in_one_batch_is_taken_over_anew():
    """A member joins and leaves while this node lags; both come at once.

    The member may have owned the shard in between, and granted permits that
    this node's record lacks.  Looked at only after the batch, nothing seems
    to have changed.
    """

    async def body():
        low, high, _ = names_in_order()
        world = World(low)
        old = world.nodes[low]
        shard = await start_shard(world, old)
        member = Member(high, 1, high, "r", "z", "", f"{high}:1", False)
        world.commit(JoinCommand(member), apply=False)
        world.commit(LeaveCommand(high, 1), apply=False)
        world.sync(old)
        assert shard.closed
        assert old.owner.shards == {}

    asyncio.run(body())


def test_shard_is_taken_over_anew_after_the_lease_had_run_out():
    """The owner is stopped for longer than its lease; it renews at once.

    Between two looks the lease ran out and was renewed; another node may
    have owned the shard.
    """

    async def body():
        low, *_ = names_in_order()
        world = World(low)
        owner = world.nodes[low]
        shard = await start_shard(world, owner)
        world.clock.advance(60)
        world.renew()
        owner.owner.handle_permit(make_request(owner))
        assert shard.closed
        assert owner.owner.shards[(POOL, 0)] is not shard

    asyncio.run(body())


def test_new_owner_counts_what_entries_have_in_flight():
    """The owner leaves while an entry streams from a full engine."""

    async def body():
        entry_name, mid, high = names_in_order()
        world = World(entry_name, mid, high)
        entry = world.nodes[entry_name]
        await start_shard(world, world.nodes[high])
        for _ in range(2):
            await entry.permits.acquire(make_request(entry))
        world.commit(LeaveCommand(high, 1))
        shard = await start_shard(world, world.nodes[mid])
        assert len(shard.book) == 2
        waiting = world.nodes[mid].owner.handle_permit(make_request(entry))
        assert not waiting.done()

    asyncio.run(body())


def test_entry_that_lags_is_not_taken_at_its_word():
    """An entry that still knows the old owner could accept its grants."""
    low, high, _ = names_in_order()
    world = World(low)
    entry = world.nodes[low]
    epoch = len(world.log)
    request = TakeoverRequest(f"{high}:1", POOL, 0, epoch + 1)
    assert not entry.permits.handle_takeover(request).ready
    request = attrs.evolve(request, epoch=epoch)
    assert entry.permits.handle_takeover(request).ready


def test_new_owner_learns_that_a_target_leaves():
    """An old announcement is held up on a link while ownership moves.

    The new owner would take it for the newest, and give a leaving target
    new work.  The entry through which it announced leaving tells it.
    """

    async def body():
        entry_name, mid, high = names_in_order()
        world = World(entry_name, mid, high)
        entry, owner = world.nodes[entry_name], world.nodes[mid]
        await start_shard(world, world.nodes[high])
        leaving = make_announcement(sequence=9, leaving=True)
        await entry.permits.announce(leaving, 0)
        world.commit(LeaveCommand(high, 1))
        shard = await start_shard(world, owner)
        assert shard.targets["t"].leaving
        owner.owner.handle_announcement(make_announcement(sequence=8))
        answer = owner.owner.handle_permit(make_request(entry))
        assert answer.error == ErrorKind.NO_TARGET.value

    asyncio.run(body())


def test_grant_that_came_late_for_a_leaving_target_is_not_used():
    """A grant is held up on a link for 5 s; its target announces leaving."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry, owner = world.nodes[entry_name], world.nodes[owner_name]
        shard = await start_shard(world, owner)

        async def gate(value):
            if isinstance(value, PermitRequest):
                world.clock.advance(5)
                world.renew()
                await start_shard(world, owner)
                owner.owner.handle_announcement(
                    make_announcement(sequence=9, leaving=True)
                )
                world.gate = World.gate.__get__(world)

        world.gate = gate
        acquiring = asyncio.ensure_future(
            entry.permits.acquire(make_request(entry))
        )
        await settle(lambda: acquiring.done() or world.clock._sleepers)
        world.clock.advance(0.1)
        with pytest.raises(RequestError) as caught:
            await asyncio.wait_for(acquiring, 5)
        assert caught.value.failure.kind is ErrorKind.NO_TARGET
        assert caught.value.failure.ran is Ran.NO
        assert len(shard.book) == 0 or shard.closed

    asyncio.run(body())


def test_permit_that_is_not_used_at_once_is_refused():
    """An entry was paused between the grant and the dispatch."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry = world.nodes[entry_name]
        await start_shard(world, world.nodes[owner_name])
        request = make_request(entry)
        permit = await entry.permits.acquire(request)
        with entry.permits.hold(request, permit) as inflight:
            assert not inflight.stopped.is_set()
        world.clock.advance(PERMIT_SECONDS + 0.1)
        world.renew()
        with pytest.raises(RequestError) as caught:
            with entry.permits.hold(request, permit):
                pass
        assert caught.value.failure.ran is Ran.NO

    asyncio.run(body())


def test_entry_without_a_lease_sends_nothing_to_a_target():
    """The lease runs out while the request waits for its permit."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry = world.nodes[entry_name]
        await start_shard(world, world.nodes[owner_name])
        request = make_request(entry)
        world.clock.advance(1.9)
        permit = await entry.permits.acquire(request)
        world.clock.advance(0.2)
        with pytest.raises(RequestError) as caught:
            with entry.permits.hold(request, permit):
                pass
        assert caught.value.failure.kind is ErrorKind.NOT_READY

    asyncio.run(body())


def test_stop_order_reaches_the_stream_that_holds_the_permit():
    """The owner ends a stream early, at another node's entry."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry, owner = world.nodes[entry_name], world.nodes[owner_name]
        await start_shard(world, owner)
        request = make_request(entry)
        permit = await entry.permits.acquire(request)
        shard = owner.owner.shards[(POOL, 0)]
        with entry.permits.hold(request, permit) as inflight:
            shard.policy.decide = lambda: [Stop(permit.permit, 2.0)]
            shard.settle()
            await settle(inflight.stopped.is_set)
            assert inflight.retry_after == 2.0

    asyncio.run(body())


def test_progress_reaches_the_owner_in_one_message():
    """Two streams of one entry deliver tokens; the policy is told."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry, owner = world.nodes[entry_name], world.nodes[owner_name]
        shard = await start_shard(world, owner)
        for tokens in (4, 5):
            request = make_request(entry)
            permit = await entry.permits.acquire(request)
            with entry.permits.hold(request, permit) as inflight:
                entry.permits.report_progress(inflight, tokens)
        seen = []
        shard.policy.progress = lambda permit, tokens: seen.append(tokens)
        await entry.permits.send_progress()
        assert seen == [4, 5]

    asyncio.run(body())


def test_a_generation_resumed_where_it_began_has_one_permit():
    """A caller's link breaks; it goes on at the same entry.

    The first stream lingers and gives its permit back early: the owner
    must hear of the end once, when the last stream here has ended.
    """

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry, owner = world.nodes[entry_name], world.nodes[owner_name]
        shard = await start_shard(world, owner)
        request = make_request(entry)
        permit = await entry.permits.acquire(request)
        again = await entry.permits.adopt(
            make_request(entry), "t", 4, permit.permit
        )
        assert again == permit and len(shard.book) == 1
        report = ReleaseReport(
            entry.cluster.holder, POOL, 0, permit.permit, 4, 2
        )
        await entry.permits.release(report)
        assert len(shard.book) == 1
        await entry.permits.release(report)
        assert not len(shard.book)

    asyncio.run(body())


def test_a_generation_resumed_elsewhere_obeys_its_owner_there():
    """A caller goes on at another entry, here the owner's own node."""

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry, owner = world.nodes[entry_name], world.nodes[owner_name]
        shard = await start_shard(world, owner)
        permit = await entry.permits.acquire(make_request(entry))
        request = make_request(owner)
        moved = await owner.permits.adopt(request, "t", 4, permit.permit)
        assert moved.permit == permit.permit and len(shard.book) == 1
        with owner.permits.hold(request, moved) as inflight:
            shard.policy.decide = lambda: [Stop(permit.permit, 3.0)]
            shard.settle()
            assert inflight.stopped.is_set() and inflight.retry_after == 3.0

    asyncio.run(body())


def cut_off(entry):
    """Let no link of an entry answer, and none be refused."""

    async def request(peer, value, timeout):
        if isinstance(value, FreshRequest):
            raise LinkError("silent", sent=True)
        if isinstance(value, TakeoverRequest):
            raise LinkError("silent", sent=True)
        await asyncio.Event().wait()

    async def send(peer, value):
        return None

    entry.request = request
    entry.send = send


async def give_up_owner(world, entry):
    """Ask for a permit until the entry is its own deputy; return the task."""
    watching = asyncio.create_task(entry.cluster.watch.run())
    acquiring = asyncio.create_task(entry.permits.acquire(make_request(entry)))
    await settle(lambda: entry.cluster.watch._waits)
    world.clock.advance(1.0)
    await settle(lambda: entry.owner.deputies.shards)
    watching.cancel()
    (deputy,) = entry.owner.deputies.shards.values()
    # no further than the takeover's wait: a busy machine turns the loop
    # often enough to use up the request's patience
    enough = world.clock.monotonic() + 2 * entry.cluster.terms.outlast

    def step():
        world.renew()
        if world.clock.monotonic() < enough:
            world.clock.advance(0.01)
        return deputy.opened

    await settle(step)
    return acquiring


def test_silent_owner_is_given_up_soon():
    """The owner's link is cut silently while a request waits there.

    The caller would be held to its deadline; the deputy, who knows no
    target, refuses as soon as it may decide: nothing ran, and when to come
    back.
    """

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry = world.nodes[entry_name]
        world.renew()
        cut_off(entry)
        acquiring = await give_up_owner(world, entry)
        with pytest.raises(RequestError) as caught:
            await asyncio.wait_for(acquiring, 5)
        assert caught.value.failure.kind is ErrorKind.NO_TARGET
        assert caught.value.failure.ran is Ran.NO
        assert caught.value.failure.retry_after is not None

    asyncio.run(body())


def test_next_owner_takes_over_at_once_from_a_process_that_ended():
    """The owner's process ends, and no voters' majority can remove it.

    Its port refuses connections at a majority of the members, so its run
    holds no lease: the next one owns the whole shard, not a deputy's part.
    """

    async def body():
        names = names_in_order()
        world = World(*names)
        entry, following = world.nodes[names[0]], world.nodes[names[1]]
        await start_shard(world, world.nodes[names[2]])
        world.ended.add(f"{names[2]}:1")
        world.clock.sleep = lambda seconds: asyncio.sleep(0)
        acquiring = asyncio.create_task(
            entry.permits.acquire(make_request(entry))
        )
        await settle(lambda: following.owner.shards)
        following.owner.handle_announcement(make_announcement(3))
        assert (await asyncio.wait_for(acquiring, 5)).target == "t"
        assert following.owner.deputies.shards == {}

    asyncio.run(body())


def test_one_members_evidence_makes_no_second_owner():
    """A firewall refuses connections to an owner that lives, from one side."""

    async def body():
        names = names_in_order()
        world = World(*names)
        following = world.nodes[names[1]]
        await start_shard(world, world.nodes[names[2]])
        owner = world.nodes[names[2]].cluster.me
        following.cluster.dead.seen[owner.node, owner.incarnation] = 0.0
        following.owner.handle_permit(make_request(following))
        await settle(lambda: not following.owner._suspecting)
        await settle(lambda: not following.cluster.dead._checking)
        following.owner.handle_permit(make_request(following))
        assert following.owner.shards == {}

    asyncio.run(body())


def test_deputy_serves_a_part_while_the_owner_is_silent():
    """The owner is dead, and no voters' majority makes a new epoch.

    Its targets would serve nobody for as long as that lasts. The deputy
    admits to a quarter of each, at least one request.
    """

    async def body():
        entry_name, owner_name, _ = names_in_order()
        world = World(entry_name, owner_name)
        entry = world.nodes[entry_name]
        world.renew()
        cut_off(entry)
        entry.permits._seen.note(make_announcement())
        acquiring = await give_up_owner(world, entry)
        permit = await asyncio.wait_for(acquiring, 5)
        assert permit.target == "t"
        (deputy,) = entry.owner.deputies.shards.values()
        second = deputy.request(make_request(entry))
        assert not second.done()

    asyncio.run(body())


def test_grant_that_crosses_a_takeover_is_not_used():
    """The owner changes while its last grant is on the way to the entry.

    The entry has told the new owner what it has in flight, without that
    grant; used, it would be one stream too many at the target.
    """

    async def body():
        entry_name, following, first = names_in_order()
        world = World(entry_name, following, first)
        entry, owner = world.nodes[entry_name], world.nodes[following]
        await start_shard(world, world.nodes[first])
        world.clock.sleep = lambda seconds: asyncio.sleep(0)

        async def gate(value):
            if isinstance(value, PermitRequest):
                world.gate = World.gate.__get__(world)
                world.commit(LeaveCommand(first, 1))
                await start_shard(world, owner)

        world.gate = gate
        acquiring = entry.permits.acquire(make_request(entry))
        permit = await asyncio.wait_for(acquiring, 5)
        (record,) = owner.owner.shards[(POOL, 0)].book
        assert record.permit == permit.permit
        assert len(entry.permits._inflight) == 1

    asyncio.run(body())
