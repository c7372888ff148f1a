"""An entry without a cluster, for tests of the request path."""

import asyncio
import contextlib
import itertools
import types

from result import Err
from result import Ok

from chivepier.documents import Template
from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import Entry as LogEntry
from chivepier.messages import JoinCommand
from chivepier.messages import Member
from chivepier.messages import PermitAnswer
from chivepier.node.background import Background
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.httpserver import open_session
from chivepier.node.inflight import Inflight
from chivepier.node.inprogress import InProgress
from chivepier.node.ledger import Ledger
from chivepier.node.metrics import Metrics
from chivepier.node.patience import Patience
from chivepier.state import Machine
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError
from chivepier.types import SystemClock
from chivepier.types import Urgency

SHORT = Patience(
    silence=0.1,
    longest_silence=0.2,
    start=2.0,
    lost=2.0,
    quiet=5.0,
    pause=0.01,
    resumption=0.05,
    slow=0.5,
)


class FakePermits:
    """Grants the first address that isn't excluded."""

    def __init__(self, addresses):
        self.addresses = list(addresses)
        self.released = []
        self.inflight = []
        self.adopted = []
        self.adopting = asyncio.Event()
        self.silent = False
        self._numbers = itertools.count(1)

    def name_request(self):
        return f"r{next(self._numbers)}"

    async def acquire(self, request):
        for address in self.addresses:
            if address not in request.excluded:
                number = next(self._numbers)
                return PermitAnswer(number, address, address, 0, "", "", 0)
        raise RequestError.of(ErrorKind.NO_TARGET, "no target is left")

    @contextlib.contextmanager
    def hold(self, request, permit):
        inflight = Inflight(request=request, permit=permit, usable_until=0)
        self.inflight.append(inflight)
        yield inflight

    async def adopt(self, request, target, tokens, permit=0):
        self.adopting.set()
        if self.silent:
            raise RequestError.of(ErrorKind.NOT_READY, "no owner answers")
        self.adopted.append((request, target, tokens, permit))
        return PermitAnswer(permit, target, target, 0, "", "", 0)

    def report_progress(self, inflight, tokens):
        inflight.tokens = tokens

    async def release(self, report):
        self.released.append(report)


class FakeCommander:
    """Commits at once into a state of its own."""

    def __init__(self, machine):
        self.machine = machine
        self.down = False
        self.commands = []

    async def run(self, command, timeout, wait_in_force=False):
        if self.down:
            text = "no majority"
            return Err(Failure(ErrorKind.NO_QUORUM, text, Ran.NO))
        self.commands.append(decode(command))
        index = self.machine.index + 1
        return Ok(self.machine.apply(LogEntry(1, index, command)))


class FakeCluster:
    """What the request path asks of a cluster."""

    def __init__(self):
        self.machine = Machine()
        self.machine.secret = b"secret"
        self.clock = SystemClock()
        self.identity = types.SimpleNamespace(node="n1")
        self.incarnation = 1
        self.draining = False
        self.settings = types.SimpleNamespace(zone="a")
        self.peer_address = self.holder = "n1"

    def ready(self):
        return True


@contextlib.asynccontextmanager
async def make_entry(*addresses, patience=SHORT):
    """Build an entry whose permits name these targets."""
    cluster = FakeCluster()
    commander = FakeCommander(cluster.machine)
    member = Member("n1", 1, "n1", "r", "a", "", "", False)
    join = JoinCommand(member)
    cluster.machine.apply(LogEntry(1, 1, encode(join)))
    background = Background(InProgress())
    async with open_session() as http:
        async with open_session(force_close=True) as once:
            yield Entry(
                cluster=cluster,
                directory=types.SimpleNamespace(pool_shards=lambda _: 1),
                permits=FakePermits(addresses),
                commander=commander,
                metrics=Metrics(),
                http=http,
                once=once,
                ledger=Ledger(cluster, commander, background),
                background=background,
                patience=patience,
            )
            await background.join()


def make_service(**changes):
    """Build a template as a team uses it."""
    return Service(
        team="t",
        weight=1.0,
        template_name="drafting",
        template=Template(pool="p", model="m", **changes),
        urgency=Urgency.NORMAL,
        max_output_tokens=1000,
        adapters=(),
    )
