"""CPU and bytes of a permit: ask, answer and release over a real link.

Run with ``python packages/node/benchmarks/permits.py``.  The owner runs in
a process of its own; the entry keeps 1, 4 or 16 requests going at once, so
that so many share a frame.  Bytes are payload of both directions and equal
in each run; CPU times are trials, bound to the machine.
"""

import asyncio
import contextlib
import itertools
import subprocess
import sys
import time

import attrs
import uvloop

from chivepier.membership import find_owner
from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import Announcement
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import JoinCommand
from chivepier.messages import Member
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.messages import TakeoverRequest
from chivepier.messages import TargetLoad
from chivepier.node.cluster import Cluster
from chivepier.node.completion import BLOCK_CHARS
from chivepier.node.completion import parse_completion
from chivepier.node.deadmembers import DeadMembers
from chivepier.node.directory import Directory
from chivepier.node.owner import Owner
from chivepier.node.peerwatch import PeerWatch
from chivepier.node.permits import Permits
from chivepier.node.settings import Settings
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.types import SystemClock
from chivepier.wire import Faults
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-benchmarks"
REQUESTS = 8_000
WIDTHS = (1, 4, 16)
BLOCKS = (0, 8, 32)
BUDGET_BYTES = 205
BUDGET_SECONDS = 168e-6
TERMS = LeaseTerms(lease=1e6)


def rank_names() -> tuple[str, str]:
    """Return the names of an entry and of the shard's owner."""
    members = [
        Member(n, 1, n, "r", "z", "", "", False)
        for n in ("4f2a9c1e", "b07d33a5")
    ]
    owner = find_owner("drafting", 0, members).node
    (entry,) = (m.node for m in members if m.node != owner)
    return entry, owner


def make_cluster(name: str, peer: str) -> Cluster:
    """Build one node's view."""
    fields = {a.name: "" for a in attrs.fields(Settings)}
    fields |= {"name": name, "region": "r", "zone": "z", "data_dir": None}
    fields |= {"seeds": (), "address_ttl": 1.0, "fault_hook": False}
    clock = SystemClock()
    cluster = Cluster(
        settings=Settings(**fields),
        clock=clock,
        identity=Identity(name),
        incarnation=time.time_ns() // 1_000_000,
        terms=TERMS,
        machine=Machine(),
        freshness=Freshness(clock, TERMS),
        peer_address=peer,
    )
    cluster.watch = PeerWatch(cluster)
    cluster.dead = DeadMembers(cluster)
    cluster.freshness.confirm(clock.monotonic())
    return cluster


def join_all(cluster: Cluster, members: list[Member]) -> None:
    """Let the members join."""
    for member in members:
        index = cluster.machine.index + 1
        command = encode(JoinCommand(member))
        cluster.machine.apply(Entry(1, index, command))
    cluster.in_force = cluster.machine.index


async def serve_owner() -> None:
    """Own the shard until standard input ends; print CPU seconds."""
    entry, name = rank_names()
    cluster = make_cluster(name, "")
    owner = Owner(cluster, Directory(cluster.machine))

    def handle(message, channel):
        match message:
            case PermitRequest():
                return owner.handle_permit(message)
            case ReleaseReport():
                return owner.handle_release(message)
            case Announcement():
                return owner.handle_announcement(message)

    async with PeerServer(
        "127.0.0.1", 0, handle, KEY, SystemClock()
    ) as server:
        cluster.peer_address = f"127.0.0.1:{server.port}"
        cluster.links = Links("", KEY, handle, Faults(), SystemClock())
        join_all(cluster, [cluster.me])
        permits = Permits(cluster, owner)
        owner.tell_inflight = permits.handle_takeover
        print(cluster.peer_address, cluster.incarnation, flush=True)
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            if line.strip() == "cpu":
                print(time.process_time(), flush=True)


class Bench:
    """The entry's side."""

    def __init__(self, process: subprocess.Popen):
        self.process = process
        address, incarnation = process.stdout.readline().split()
        entry, name = rank_names()
        self.cluster = make_cluster(entry, "127.0.0.1:9")
        member = Member(
            name, int(incarnation), name, "r", "z", "", address, False
        )
        join_all(self.cluster, [member, self.cluster.me])
        self.owner = Owner(self.cluster, Directory(self.cluster.machine))
        self.permits = Permits(self.cluster, self.owner)

    def read_cpu(self) -> float:
        """Return the owner's CPU seconds so far."""
        self.process.stdin.write("cpu\n")
        self.process.stdin.flush()
        return float(self.process.stdout.readline())

    async def announce(self) -> None:
        """Announce an engine with room for all."""
        announcement = Announcement(
            "e0",
            1,
            time.monotonic_ns(),
            "engine",
            "drafting",
            "127.0.0.1:8000",
            "z",
            ("plain-english-8b",),
            (),
            "serve",
            False,
            100000,
            64,
            TargetLoad(0, 0, 0, 0),
            (),
            False,
        )
        await self.permits.announce(announcement, 0)

    async def ask(self, prefix: tuple[int, ...]) -> None:
        """Get one permit and release it."""
        request = PermitRequest(
            self.permits.name_request(),
            "drafting",
            0,
            "advisers",
            "drafting",
            "plain-english-8b",
            "",
            1,
            512,
            1024,
            prefix,
            "a",
            self.cluster.peer_address,
            30.0,
            (),
        )
        permit = await self.permits.acquire(request)
        report = ReleaseReport(
            request.entry, "drafting", 0, permit.permit, 330, 0
        )
        await self.permits.release(report)

    async def run(self, width: int, blocks: int) -> list[float]:
        """Measure one row.

        :param width: requests at once
        :param blocks: hashes of the prompt's prefix
        :returns: bytes, frames and CPU seconds of both sides, a request
        """
        body = {"model": "drafting", "prompt": "p" * blocks * BLOCK_CHARS}
        prefix = parse_completion(body, chat=False).hash_prefixes("advisers")
        await self.announce()
        await asyncio.gather(*(self.ask(prefix) for _ in range(width)))
        traffic = self.cluster.links.traffic
        before = attrs.astuple(traffic)
        cpu_owner, cpu = self.read_cpu(), time.process_time()

        async def work() -> None:
            for _ in range(REQUESTS // width):
                await self.ask(prefix)

        await asyncio.gather(*(work() for _ in range(width)))
        cpu = time.process_time() - cpu
        cpu_owner = self.read_cpu() - cpu_owner
        grown = [b - a for a, b in zip(before, attrs.astuple(traffic))]
        size, frames = grown[1] + grown[3], grown[0] + grown[2]
        return [n / REQUESTS for n in (size, frames, cpu, cpu_owner)]


async def measure(process: subprocess.Popen) -> None:
    """Print a row for each width and prefix."""
    bench = Bench(process)
    cluster = bench.cluster

    def handle(message, channel):
        if isinstance(message, TakeoverRequest):
            return bench.permits.handle_takeover(message)
        return None

    links = Links(cluster.peer_address, KEY, handle, Faults(), SystemClock())
    async with links:
        cluster.links = links
        print(
            "at once  blocks  bytes  frames  entry us  owner us  both/budget"
        )
        for width, blocks in itertools.product(WIDTHS, BLOCKS):
            size, frames, cpu, cpu_owner = await bench.run(width, blocks)
            share = (cpu + cpu_owner) / BUDGET_SECONDS
            print(
                f"{width:7}  {blocks:6}  {size:5.0f}  {frames:6.2f}"
                f"  {cpu * 1e6:8.1f}  {cpu_owner * 1e6:8.1f}  {share:11.2f}"
            )
        print(f"budget: {BUDGET_BYTES} bytes, {BUDGET_SECONDS * 1e6:.0f} us")


def main() -> None:
    """Run the owner's process and the measurement."""
    if sys.argv[1:] == ["--owner"]:
        uvloop.run(serve_owner())
        return
    command = [sys.executable, __file__, "--owner"]
    pipe = subprocess.PIPE
    with subprocess.Popen(
        command, stdin=pipe, stdout=pipe, text=True
    ) as process:
        with contextlib.suppress(BrokenPipeError):
            uvloop.run(measure(process))
        process.stdin.close()


if __name__ == "__main__":
    main()
