"""One process of chivepier."""

import asyncio
import contextlib
import secrets
import time

import aiohttp
import logbook

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.node.addresses import Addresses
from chivepier.node.background import Background
from chivepier.node.callers import Callers
from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.node.controller import Controller
from chivepier.node.deadmembers import DeadMembers
from chivepier.node.directory import Directory
from chivepier.node.drain import Drain
from chivepier.node.entry import Entry
from chivepier.node.faulthook import FaultHook
from chivepier.node.gauges import Gauges
from chivepier.node.health import Health
from chivepier.node.httpserver import make_app
from chivepier.node.httpserver import open_session
from chivepier.node.httpserver import serve_app
from chivepier.node.inprogress import InProgress
from chivepier.node.ledger import Ledger
from chivepier.node.localreplica import LocalReplica
from chivepier.node.metrics import Metrics
from chivepier.node.operators import Operators
from chivepier.node.owner import Owner
from chivepier.node.peermessages import PeerMessages
from chivepier.node.peerwatch import PeerWatch
from chivepier.node.permits import Permits
from chivepier.node.renewal import Renewal
from chivepier.node.services import Services
from chivepier.node.settings import Settings
from chivepier.node.targets import Targets
from chivepier.node.voters import Voters
from chivepier.state import FolderLock
from chivepier.state import Identity
from chivepier.state import load_identity
from chivepier.state import Machine
from chivepier.types import Clock
from chivepier.wire import Links
from chivepier.wire import PeerServer

log = logbook.Logger("node")


class Node:
    """Holds the parts together; entering starts it, leaving stops it."""

    def __init__(self, settings: Settings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._draining = asyncio.Event()

    async def __aenter__(self) -> "Node":
        async with contextlib.AsyncExitStack() as stack:
            self._stack = stack
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._settings
        if settings.data_dir is not None:
            stack.enter_context(FolderLock(settings.data_dir))
        identity = self._load_identity()
        machine = Machine()
        terms = LeaseTerms()
        self.cluster = Cluster(
            settings=settings,
            clock=self._clock,
            identity=identity,
            incarnation=time.time_ns() // 1_000_000,
            terms=terms,
            machine=machine,
            freshness=Freshness(self._clock, terms),
        )
        host, _, port = settings.peer_listen.rpartition(":")
        self._peers = PeerMessages(cluster=self.cluster)
        handle = self._peers.handle
        server = PeerServer(
            host, int(port), handle, settings.cluster_key, self._clock
        )
        await stack.enter_async_context(server)
        self.cluster.peer_address = _fill_port(
            settings.peer_advertise, server.port
        )
        links = Links(
            self.cluster.peer_address,
            settings.cluster_key,
            handle,
            server.faults,
            self._clock,
            server.traffic,
        )
        self.cluster.links = await stack.enter_async_context(links)
        self.faults = server.faults
        self._build()
        await self._start_http(stack)
        stack.push_async_callback(self._local.close)
        if identity.cluster:
            await self._local.start()
        self._spawn(self.renewal.run())
        self._spawn(self.owner.run())
        self._spawn(self.permits.run())
        self._spawn(self.cluster.watch.run())
        log.info(
            "started name={} node={} http={} peer={}",
            settings.name,
            identity.node,
            self.cluster.address,
            self.cluster.peer_address,
        )

    def _load_identity(self) -> Identity:
        folder = self._settings.data_dir
        if folder is None:
            return Identity(secrets.token_hex(4))
        return load_identity(folder)

    def _build(self) -> None:
        cluster = self.cluster
        cluster.watch = PeerWatch(cluster)
        cluster.dead = DeadMembers(cluster)
        self.directory = Directory(cluster.machine)
        self.commander = Commander(cluster)
        self.voters = Voters(cluster)
        self.renewal = Renewal(cluster)
        self.owner = Owner(cluster, self.directory)
        self.permits = Permits(cluster, self.owner)
        self.owner.tell_stop = self.permits.handle_stop
        self.owner.tell_inflight = self.permits.handle_takeover
        self._local = LocalReplica(cluster, self._spawn)
        self._set_handlers()
        self.metrics = Metrics()
        gauges = Gauges(cluster, self.owner, cluster.links.traffic)
        self.metrics.registry.register(gauges)
        self.progress = InProgress()
        self._drain = Drain(
            cluster, self.renewal, self.commander, self.progress
        )

    def _set_handlers(self) -> None:
        peers = self._peers
        peers.owner = self.owner
        peers.permits = self.permits
        peers.renewal = self.renewal
        peers.commander = self.commander
        peers.voters = self.voters
        peers.local = self._local

    async def _start_http(self, stack: contextlib.AsyncExitStack) -> None:
        http = await stack.enter_async_context(open_session())
        once = await stack.enter_async_context(open_session(force_close=True))
        controller = Controller(
            self.cluster, self.directory, self.owner, self.metrics, once
        )
        self._spawn(controller.run())
        parts = self._make_http_parts(self._make_entry(http, once))
        app = make_app(self.metrics, self.progress, parts)
        port = await stack.enter_async_context(
            serve_app(app, self._settings.listen)
        )
        self.cluster.address = _fill_port(self._settings.advertise, port)

    def _make_entry(
        self, http: aiohttp.ClientSession, once: aiohttp.ClientSession
    ) -> Entry:
        background = Background(self.progress)
        return Entry(
            cluster=self.cluster,
            directory=self.directory,
            permits=self.permits,
            commander=self.commander,
            metrics=self.metrics,
            http=http,
            once=once,
            ledger=Ledger(self.cluster, self.commander, background),
            background=background,
        )

    def _make_http_parts(self, entry: Entry) -> tuple:
        callers = Callers(entry)
        return (
            callers,
            Services(entry, callers),
            Addresses(entry),
            Targets(entry),
            Operators(entry, self),
            self.voters,
            FaultHook(self.faults, self._settings.fault_hook),
            Health(self.cluster, self.metrics),
        )

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_report)
        self._tasks.append(task)

    def start_drain(self) -> None:
        """Stop gracefully; asked again, the stop goes on as it is."""
        if self._draining.is_set():
            log.info("drain asked again: still stopping gracefully")
            return
        log.info("drain asked")
        self._draining.set()

    async def drain(self) -> None:
        """Wait until a stop is asked for, and carry it out."""
        await self._draining.wait()
        await self._drain.run()


def _fill_port(address: str, port: int) -> str:
    host, _, given = address.rpartition(":")
    return f"{host}:{port if given == '0' else given}"


def _report(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("a task ended error={!r}", task.exception())
