"""When a leader may order, and whom."""

import asyncio
import types

import aiohttp
from aiohttp import web
import pytest

from chivepier.messages import Member
from chivepier.messages import TargetsAnswer
from chivepier.node.controller import Controller
from chivepier.node.controller import ORDER_SECONDS
from chivepier.node.controller import SETTLE_SECONDS
from chivepier.node.metrics import Metrics
from chivepier.node.order import Order
from chivepier.node.orderkind import OrderKind
from chivepier.node.tests.test_orderplan import make_target
from chivepier.node.tests.test_orderplan import make_template
from chivepier.state import Timing
from chivepier.types import ManualClock
from chivepier.wire import LinkError

ME = Member("n1", 1, "n1", "r", "a", "", "n1", False)
OTHER = Member("n2", 1, "n2", "r", "a", "", "n2", False)


class FakeReplica:
    """A voter that leads in a term, with some lease left."""

    def __init__(self):
        self.timing = Timing()
        self.storage = types.SimpleNamespace(term=7, term_at=lambda _: 7)
        self.commit = 5
        self.left = 0.8

    def lease_left(self):
        return self.left


class World:
    """A controller whose orders are kept instead of sent."""

    def __init__(self, *targets, template=make_template()):
        self.clock = ManualClock()
        self.replica = FakeReplica()
        self.sent = []
        self.status = 200
        self.owner = ME
        self.targets = targets
        cluster = types.SimpleNamespace(
            clock=self.clock,
            replica=self.replica,
            ready=lambda: True,
            identity=types.SimpleNamespace(node="n1"),
            machine=types.SimpleNamespace(index=5, epoch=1),
            links=self,
        )
        self.cluster = cluster
        directory = types.SimpleNamespace(templates=lambda: {"a": template})
        owner = types.SimpleNamespace(
            find=lambda pool, number: self.owner,
            handle_targets=lambda _: TargetsAnswer(self.targets),
        )
        self.controller = Controller(
            cluster, directory, owner, Metrics(), None
        )
        self.controller._send = self.send
        self.answer = asyncio.Event()
        self.answer.set()

    async def request(self, peer, message, timeout):
        raise LinkError("no answer", sent=True)

    async def send(self, order):
        self.sent.append((order.target, self.controller.find_fence()))
        await self.answer.wait()
        return self.status

    async def settle(self):
        """Let the first comparison see the members' epoch, then wait."""
        await self.controller.step()
        self.clock.advance(SETTLE_SECONDS)

    async def step(self, seconds=0.0):
        self.clock.advance(seconds)
        await self.controller.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def test_an_order_carries_the_leaders_term():
    async def run():
        world = World(make_target("a", "m@1"))
        await world.settle()
        await world.step()
        assert world.sent == [("a", 7)]

    asyncio.run(run())


def test_no_order_is_sent_beyond_the_lease():
    """The leader is cut off; another may lead before the order's deadline."""

    async def run():
        world = World(make_target("a", "m@1"))
        await world.settle()
        world.replica.left = ORDER_SECONDS
        await world.step()
        assert world.sent == []
        world.replica.left = 0.8
        await world.step()
        assert world.sent == [("a", 7)]

    asyncio.run(run())


def test_a_new_leader_that_has_not_caught_up_orders_nothing():
    """Its state may lack a template that was accepted under the old one."""
    world = World()
    world.replica.storage.term_at = lambda _: 6
    assert world.controller.find_fence() == 0
    world = World()
    world.cluster.machine.index = 4
    assert world.controller.find_fence() == 0


def test_a_target_that_ignores_numbers_waits_out_the_old_leader():
    """The old leader's order may still be on its way to the target.

    One that checks numbers refuses it; the other would obey the old order
    after the new one.
    """

    async def run():
        world = World(
            make_target("a", "m@1", checks_fence=False),
            make_target("b", "m@1", checks_fence=True),
            make_target("c", "m@1", checks_fence=True),
            template=make_template(min_targets=1),
        )
        await world.settle()
        world.replica.storage.term = 8
        world.replica.storage.term_at = lambda _: 8
        await world.step()
        assert world.sent == [("b", 8)]
        await world.step(1.2)
        await world.step(0.3)
        assert ("a", 8) in world.sent

    asyncio.run(run())


def test_one_order_is_outstanding_per_target():
    async def run():
        world = World(make_target("a", "m@1"))
        world.answer.clear()
        await world.settle()
        await world.step()
        await world.step(5.0)
        assert len(world.sent) == 1
        # done, but not announced yet: it must not be sent again
        world.answer.set()
        await world.step(1.0)
        assert len(world.sent) == 1

    asyncio.run(run())


def test_a_failing_target_is_asked_less_and_less():
    async def run():
        world = World(make_target("a", "m@1"))
        world.status = 500
        await world.settle()
        for _ in range(40):
            await world.step(1.0)
        assert 4 <= len(world.sent) <= 7

    asyncio.run(run())


def test_loads_keep_to_the_stores_pace():
    async def run():
        targets = [make_target(name) for name in "abcdefgh"]
        world = World(*targets)
        await world.settle()
        for _ in range(4):
            await world.step(0.3)
        assert len(world.sent) == 2

    asyncio.run(run())


def test_an_owner_that_does_not_answer_is_no_empty_pool():
    """Its targets would seem to be gone, and others be loaded for them."""

    async def run():
        world = World(make_target("a"))
        world.owner = OTHER
        await world.settle()
        await world.step()
        assert world.sent == []

    asyncio.run(run())


def test_after_a_change_of_owners_targets_are_heard_first():
    async def run():
        world = World(make_target("a"))
        await world.settle()
        world.cluster.machine.epoch = 2
        await world.step()
        assert world.sent == []
        await world.step(SETTLE_SECONDS)
        assert len(world.sent) == 1

    asyncio.run(run())


@pytest.mark.parametrize("status", [200, 409, 500])
def test_an_order_is_sent_as_the_protocol_says(status):
    seen = []

    async def handle(request):
        seen.append(await request.json())
        return web.json_response({}, status=status)

    async def run():
        app = web.Application()
        app.router.add_post("/v1/orders", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = "127.0.0.1:%d" % runner.addresses[0][1]
        world = World(make_target("a", "m@1"))
        async with aiohttp.ClientSession() as http:
            world.controller._http = http
            order = make_order(address)
            assert await Controller._send(world.controller, order) == status
        await runner.cleanup()

    asyncio.run(run())
    assert seen[0]["fence"] == 7 and seen[0]["order"] == "load_model"
    assert seen[0]["deadline"] == ORDER_SECONDS


def make_order(address):
    return Order(
        target="a",
        address=address,
        checks_fence=True,
        kind=OrderKind.LOAD_MODEL,
        model="m",
        version="2",
    )
