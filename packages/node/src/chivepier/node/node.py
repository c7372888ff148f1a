"""One process of chivepier."""

import asyncio
import contextlib
import random
import secrets
import time

import aiohttp
from aiohttp import web
import logbook
import prometheus_client

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
import chivepier.messages as messages
from chivepier.messages import encode
from chivepier.node.addresses import Addresses
from chivepier.node.answers import make_error_middleware
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
from chivepier.node.inprogress import InProgress
from chivepier.node.leadership import Leadership
from chivepier.node.ledger import Ledger
from chivepier.node.metrics import Metrics
from chivepier.node.operators import Operators
from chivepier.node.owner import Owner
from chivepier.node.peerwatch import PeerWatch
from chivepier.node.permits import Permits
from chivepier.node.renewal import Renewal
from chivepier.node.services import Services
from chivepier.node.settings import Settings
from chivepier.node.targets import Targets
from chivepier.node.voters import Voters
from chivepier.state import DiskStorage
from chivepier.state import FolderLock
from chivepier.state import Identity
from chivepier.state import load_identity
from chivepier.state import Machine
from chivepier.state import Replica
from chivepier.state import save_identity
from chivepier.state import Timing
from chivepier.types import Clock
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire import RefusedError

log = logbook.Logger("node")

MAX_BODY = 8 << 20
MERGE_SECONDS = 0.1


class Node:
    """Holds the parts together; entering starts it, leaving stops it."""

    def __init__(self, settings: Settings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._storage: DiskStorage | None = None
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
        server = PeerServer(
            host, int(port), self._handle, settings.cluster_key
        )
        await stack.enter_async_context(server)
        self.cluster.peer_address = _fill_port(
            settings.peer_advertise, server.port
        )
        links = Links(
            self.cluster.peer_address,
            settings.cluster_key,
            self._handle,
            server.faults,
            server.traffic,
        )
        self.cluster.links = await stack.enter_async_context(links)
        self.faults = server.faults
        self._build()
        await self._start_http(stack)
        if identity.cluster:
            await self._start_replica()
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
        self.metrics = Metrics()
        gauges = Gauges(cluster, self.owner, cluster.links.traffic)
        self.metrics.registry.register(gauges)
        self.progress = InProgress()
        self._drain = Drain(
            cluster, self.renewal, self.commander, self.progress
        )

    async def _start_http(self, stack: contextlib.AsyncExitStack) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        http = await stack.enter_async_context(session)
        once = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
        )
        await stack.enter_async_context(once)
        background = Background(self.progress)
        entry = Entry(
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
        controller = Controller(
            self.cluster, self.directory, self.owner, self.metrics, once
        )
        self._spawn(controller.run())
        app = web.Application(
            middlewares=[
                make_error_middleware(self.metrics),
                self.progress.track,
            ],
            client_max_size=MAX_BODY,
        )
        callers = Callers(entry)
        for part in (
            callers,
            Services(entry, callers),
            Addresses(entry),
            Targets(entry),
            Operators(entry, self),
            self.voters,
            FaultHook(self.faults, self._settings.fault_hook),
        ):
            part.add_routes(app)
        app.router.add_get("/metrics", self._show_metrics)
        app.router.add_get("/healthz", self._show_health)
        app.router.add_get("/readyz", self._show_ready)
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, _, port = self._settings.listen.rpartition(":")
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        actual = site._server.sockets[0].getsockname()[1]
        self.cluster.address = _fill_port(self._settings.advertise, actual)

    async def _show_metrics(self, request: web.Request) -> web.Response:
        # a page takes a tenth of a second to write: in the loop, each scrape
        # would hold up every stream of the node for that long
        data = await asyncio.to_thread(
            prometheus_client.generate_latest, self.metrics.registry
        )
        return web.Response(body=data, content_type="text/plain")

    async def _show_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _show_ready(self, request: web.Request) -> web.Response:
        if self.cluster.ready() and not self.cluster.draining:
            return web.Response(text="ready\n")
        return web.Response(text="not ready\n", status=503)

    async def _start_replica(self) -> None:
        cluster = self.cluster
        self._storage = DiskStorage(self._settings.data_dir, used=True)
        replica = Replica(
            cluster.identity.node,
            self._storage,
            Machine(),
            cluster.links,
            self._clock,
            Timing(),
            random.Random(cluster.identity.node),
            cluster.identity.cluster,
        )
        if replica.votes():
            replica.use_machine(cluster.machine)
        cluster.leadership = Leadership(cluster)
        cluster.replica = replica
        await replica.__aenter__()
        self._stack.push_async_exit(replica)
        self._spawn(cluster.leadership.run())
        self._spawn(self._merge(replica))

    async def _merge(self, replica: Replica) -> None:
        # a learner's log fills a machine of its own, claims included, while
        # the node goes on with what it fetches from others
        machine = self.cluster.machine
        while replica.machine is not machine:
            if replica.votes() and replica.machine.index >= machine.index:
                replica.use_machine(machine)
                return
            await replica.machine.changed.wait(MERGE_SECONDS)

    async def _enrol(
        self, request: messages.EnrolRequest
    ) -> messages.EnrolAnswer:
        cluster = self.cluster
        identity, folder = cluster.identity, self._settings.data_dir
        if folder is None:
            return messages.EnrolAnswer(False, "it has no data folder")
        if request.node != identity.node:
            return messages.EnrolAnswer(False, "it has another identity")
        if identity.cluster and identity.cluster != request.cluster:
            text = "its folder belongs to another cluster: empty it first"
            return messages.EnrolAnswer(False, text)
        replica = cluster.replica
        if replica is None:
            DiskStorage(folder).close()
            identity = Identity(identity.node, request.cluster)
            save_identity(folder, identity)
            cluster.identity = identity
            await self._start_replica()
        elif replica.machine is cluster.machine and not replica.votes():
            text = "it was removed; restart it first"
            return messages.EnrolAnswer(False, text)
        return messages.EnrolAnswer(True, "")

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_report)
        self._tasks.append(task)

    def _handle(self, message, channel):
        cluster, replica = self.cluster, self.cluster.replica
        match message:
            case messages.PermitRequest():
                return self.owner.handle_permit(message)
            case messages.ReleaseReport():
                return self.owner.handle_release(message)
            case messages.ProgressReport():
                return self.owner.handle_progress(message)
            case messages.StopOrder():
                return self.permits.handle_stop(message)
            case messages.ConfirmRequest():
                return self.owner.handle_confirm(message)
            case messages.AdoptRequest():
                return self.owner.handle_adopt(message)
            case messages.TakeoverRequest():
                return self.permits.handle_takeover(message)
            case messages.InflightRequest():
                return self.permits.handle_inflight(message)
            case messages.CancelReport():
                return self.owner.handle_cancel(message)
            case messages.DeputyAnnouncement():
                return self.owner.handle_deputy(message)
            case messages.Announcement():
                return self.owner.handle_announcement(message)
            case messages.TargetsRequest():
                return self.owner.handle_targets(message)
            case messages.RenewRequest():
                return self._handle_renew(message)
            case messages.DeathRequest():
                return self.cluster.dead.handle_death(message)
            case messages.FreshRequest():
                return self.renewal.handle_fresh(message)
            case messages.ChangedNotice():
                return self.renewal.handle_notice(message)
            case messages.SyncRequest():
                return self.renewal.handle_sync(message)
            case messages.CommandRequest():
                return self.commander.handle(message)
            case messages.IdentityRequest():
                return self._identify()
            case messages.VotersRequest():
                return self.voters.handle(message)
            case messages.LogRequest():
                return self.voters.handle_log(message)
            case messages.EnrolRequest():
                return self._enrol(message)
            case messages.BootstrapRequest():
                return self._found(message)
            case messages.AppendRequest() if replica is not None:
                return replica.handle_append(message)
            case messages.VoteRequest() if replica is not None:
                return replica.handle_vote(message)
            case messages.SnapshotRequest() if replica is not None:
                return replica.handle_snapshot(message)
            case (
                messages.AppendRequest()
                | messages.VoteRequest()
                | messages.SnapshotRequest()
            ):
                # meant for the identity that was lost with its folder
                raise RefusedError("no voter here")
        text = f"{type(message).__name__} at {cluster.settings.name}"
        raise ValueError(f"not handled: {text}")

    def _handle_renew(
        self, message: messages.RenewRequest
    ) -> messages.RenewAnswer:
        cluster = self.cluster
        if cluster.leadership is None:
            return messages.RenewAnswer(False, cluster.leader, 0, 0)
        return cluster.leadership.handle_renew(message)

    def _identify(self) -> messages.IdentityAnswer:
        identity = self.cluster.identity
        return messages.IdentityAnswer(
            identity.node,
            self._settings.name,
            identity.cluster,
            self._settings.data_dir is not None,
        )

    async def _found(
        self, request: messages.BootstrapRequest
    ) -> messages.BootstrapAnswer:
        cluster = self.cluster
        if cluster.identity.cluster == request.cluster:
            return messages.BootstrapAnswer(True, "")
        if cluster.identity.cluster or self._settings.data_dir is None:
            return messages.BootstrapAnswer(False, "not a new data folder")
        folder = self._settings.data_dir
        storage = DiskStorage(folder)
        command = encode(messages.VotersCommand(request.voters))
        storage.append((messages.Entry(1, 1, command),))
        await storage.sync()
        await storage.save_vote(1, "")
        storage.close()
        identity = Identity(cluster.identity.node, request.cluster)
        save_identity(folder, identity)
        cluster.identity = identity
        await self._start_replica()
        return messages.BootstrapAnswer(True, "")

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
