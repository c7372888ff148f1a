"""Bringing targets to their intended state."""

import asyncio

import aiohttp
import logbook

from chivepier.messages import Announcement
from chivepier.messages import Member
from chivepier.messages import TargetsAnswer
from chivepier.messages import TargetsRequest
from chivepier.node.cluster import Cluster
from chivepier.node.directory import Directory
from chivepier.node.intent import list_intents
from chivepier.node.loadpace import LoadPace
from chivepier.node.metrics import Metrics
from chivepier.node.order import Order
from chivepier.node.orderplan import plan_orders
from chivepier.node.owner import Owner
from chivepier.types import TargetKind
from chivepier.wire import LinkError

log = logbook.Logger("controller")

TICK_SECONDS = 0.5
LINK_SECONDS = 1.0
ORDER_SECONDS = 0.3
ANSWER_SECONDS = 60.0
SETTLE_SECONDS = 2.5
RETRY_SECONDS = 1.0
MOST_RETRY_SECONDS = 30.0
MAX_LOADS = 4
OK = 200
REFUSED_BY_STORE = 429


class Controller:
    """Sends orders while this voter leads; the fencing number is its term.

    One leader's term is above that of any leader before, so a target that
    checks numbers refuses what an earlier leader still has on the way.  For
    the others the times must not meet: an order is sent only while the lease
    outlasts its deadline, and a new leader's first order to such a target
    waits until an order of the one before can't be begun any more.  What is
    left is a process frozen between check and sending, or an order stalled
    on a link: the next comparison undoes it.
    """

    def __init__(
        self,
        cluster: Cluster,
        directory: Directory,
        owner: Owner,
        metrics: Metrics,
        http: aiohttp.ClientSession,
    ):
        self._cluster = cluster
        self._directory = directory
        self._owner = owner
        self._metrics = metrics
        self._http = http
        self._term = 0
        self._began = 0.0
        self._epoch = -1
        self._moved = 0.0
        self._pace = LoadPace()
        self._busy: dict[str, Order] = {}
        self._rest: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Compare and order for as long as the node lives."""
        while True:
            await self._cluster.clock.sleep(TICK_SECONDS)
            if not self.find_fence():
                continue
            try:
                await self.step()
            except Exception:
                # intended state must be reached some other time, then
                log.exception("comparison failed")

    def find_fence(self) -> int:
        """Return the fencing number, or 0 while this node may not order.

        The leader must have applied an entry of its own term: until then it
        may lack a change of configuration that was accepted before.
        """
        cluster = self._cluster
        replica = cluster.replica
        if replica is None or not cluster.ready():
            return 0
        if replica.lease_left() <= ORDER_SECONDS:
            return 0
        term = replica.storage.term
        if replica.storage.term_at(replica.commit) != term:
            return 0
        if cluster.machine.index < replica.commit:
            return 0
        if term != self._term:
            self._term = term
            self._began = cluster.clock.monotonic()
        return term

    async def step(self) -> None:
        """Compare once, and send what is due."""
        targets = await self._list_targets()
        now = self._cluster.clock.monotonic()
        if self._cluster.machine.epoch != self._epoch:
            # new owners hear their targets again within an announcement
            self._epoch = self._cluster.machine.epoch
            self._moved = now
        if targets is None or now < self._moved + SETTLE_SECONDS:
            return
        self._forget(targets, now)
        intents = list_intents(self._directory.templates().values())
        resting = {**self._rest, **self._busy}
        for order in plan_orders(intents, targets, self._busy):
            if order.target not in resting and self._may_send(order, now):
                self._start(order)

    def _may_send(self, order: Order, now: float) -> bool:
        fence = self.find_fence()
        if not fence:
            return False
        if not order.checks_fence and now < self._began + self._outlast():
            return False
        if not order.loads:
            return True
        loading = sum(o.loads for o in self._busy.values())
        return loading < MAX_LOADS and self._pace.take(now)

    def _outlast(self) -> float:
        # the old leader's lease, at the slowest clock, and the deadline of
        # an order that it sent at the lease's very end
        timing = self._cluster.replica.timing
        return timing.election * (1 + timing.clock_rate_margin) + ORDER_SECONDS

    def _forget(self, targets: list[Announcement], now: float) -> None:
        known = {t.target for t in targets}
        for target, until in list(self._rest.items()):
            if now >= until:
                del self._rest[target]
        for target in self._failures.keys() - known:
            del self._failures[target]

    def _start(self, order: Order) -> None:
        self._busy[order.target] = order
        task = asyncio.create_task(self._carry_out(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, order: Order) -> None:
        status = 0
        try:
            status = await self._send(order)
        finally:
            del self._busy[order.target]
            self._note(order, status)

    async def _send(self, order: Order) -> int:
        fence = self.find_fence()
        if not fence:
            return 0
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_SECONDS, sock_connect=ORDER_SECONDS
        )
        log.info(
            "order target={} kind={} model={}@{} fence={}",
            order.target,
            order.kind.value,
            order.model,
            order.version,
            fence,
        )
        try:
            async with self._http.post(
                f"http://{order.address}/v1/orders",
                json=order.render(fence, ORDER_SECONDS),
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    def _note(self, order: Order, status: int) -> None:
        """Let the target rest until its announcement can show the order."""
        now = self._cluster.clock.monotonic()
        counter = self._metrics.orders
        counter.labels(order.kind.value, _name_result(status)).inc()
        if status == OK:
            self._failures.pop(order.target, None)
            self._rest[order.target] = now + SETTLE_SECONDS
            if order.loads:
                self._pace.speed_up()
            return
        if status == REFUSED_BY_STORE:
            self._pace.slow_down()
        failures = self._failures.get(order.target, 0)
        self._failures[order.target] = min(failures + 1, 10)
        wait = min(MOST_RETRY_SECONDS, RETRY_SECONDS * 2**failures)
        self._rest[order.target] = now + wait

    async def _list_targets(self) -> list[Announcement] | None:
        """Ask all owners for what their targets announce.

        :returns: ``None`` when an owner does not answer: its targets would
            seem to be gone, and others be loaded in their place
        """
        request = TargetsRequest("")
        owners = self._find_owners()
        if None in owners:
            return None
        asked = (self._ask(owner, request) for owner in owners)
        answers = await asyncio.gather(*asked)
        if None in answers:
            return None
        return [t for answer in answers for t in answer.targets]

    def _find_owners(self) -> set[Member | None]:
        return {
            self._owner.find(template.pool, number)
            for template in self._directory.templates().values()
            for number in range(template.shards)
            if template.kind is TargetKind.ENGINE
        }

    async def _ask(
        self, member: Member, request: TargetsRequest
    ) -> TargetsAnswer | None:
        if member.node == self._cluster.identity.node:
            return self._owner.handle_targets(request)
        try:
            return await self._cluster.links.request(
                member.peer_address, request, LINK_SECONDS
            )
        except LinkError:
            return None


def _name_result(status: int) -> str:
    match status:
        case 200:
            return "done"
        case 0:
            return "no_answer"
        case 409:
            return "stale_fence"
        case 429:
            return "store_refused"
        case _:
            return "refused"
