"""Assembly of the parts of an entry."""

import contextlib
import random

from chivepier.gateway.config import RouteIndex
from chivepier.gateway.entry.usagewatch import UsageWatch
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Currency
from chivepier.gateway.following import Decode
from chivepier.gateway.following import LimitExchange
from chivepier.gateway.following import LoadExchange
from chivepier.gateway.following import OriginExchange
from chivepier.gateway.following import Peers
from chivepier.gateway.following import QuarantineExchange
from chivepier.gateway.following import ReportExchange
from chivepier.gateway.following import VoterClient
from chivepier.gateway.forwarding import ForwardClient
from chivepier.gateway.forwarding import ForwardServer
from chivepier.gateway.forwarding import PeerList
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import BrittleTable
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.permits import ColdBound
from chivepier.gateway.permits import FallbackLimiter
from chivepier.gateway.permits import SendLimiter
from chivepier.gateway.quarantine import Quarantine
from chivepier.gateway.quarantine import Trials
from chivepier.gateway.reach import Reach
from chivepier.gateway.reach import ReachProber
from chivepier.gateway.serving import AnswerMemory
from chivepier.gateway.serving import BodyMemory
from chivepier.gateway.serving import BrittleAdmission
from chivepier.gateway.serving import CrashGuard
from chivepier.gateway.serving import Detour
from chivepier.gateway.serving import Dispatcher
from chivepier.gateway.serving import HeaderRecorder
from chivepier.gateway.serving import Identification
from chivepier.gateway.serving import Mover
from chivepier.gateway.serving import Planner
from chivepier.gateway.serving import RequestHandler
from chivepier.gateway.serving import RetryAfterScheduler
from chivepier.gateway.serving import RetryBudget
from chivepier.gateway.serving import SendGate
from chivepier.gateway.serving import ServingState
from chivepier.gateway.serving import Shedding
from chivepier.gateway.serving import SMALL_BODY_BYTES
from chivepier.gateway.serving import TargetCalls
from chivepier.gateway.serving import TargetClient
from chivepier.gateway.settings import EntrySettings
from chivepier.gateway.supervision import Supervisor
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.usage import AbilityReporter
from chivepier.gateway.usage import ProcessReader
from chivepier.gateway.usage import UsageMeter
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import ZoneOrder
from chivepier.gateway.zones import Zones
from chivepier.types import Clock
from chivepier.wire import Faults
from chivepier.wire import Links
from chivepier.wire import PeerServer

# Seconds after the stop order in which callers may still connect to an address
# that they resolved earlier.
LATE_CALLER_SECONDS = 4.0
# Fraction of the remaining seconds for which an entry stays for such callers.
ACCEPT_FRACTION = 2 / 3
# Seconds after the stop order in which requests are taken that may outlast the
# process, and the fraction of the remaining seconds. Users count as lost what
# was sent after the third second and is cut at the end; the order may be read
# late.
OPEN_SECONDS = 2.8
OPEN_FRACTION = 0.4
# Fraction of the grace period before whose end the process exits: the last
# answers are written then, the machine may be slow, and a kill would reset
# connections being written to. Users count no loss in the last sixth.
EXIT_MARGIN_FRACTION = 1 / 8
# Seconds between two checks whether the last request has ended.
POLL_SECONDS = 0.1


class Entry:
    """Serves callers; independent of the protocol of the server they use.

    :param settings: settings read at its start
    :param port: client that speaks the protocol of the targets
    :param decode: decodes a serialized configuration
    :param clock: source of monotonic time
    :param log: event log of decisions and of known state
    """

    def __init__(
        self,
        settings: EntrySettings,
        port: TargetClient,
        decode: Decode,
        clock: Clock,
        log: EventLog,
    ):
        rng = random.Random()
        self._settings = settings
        self._clock = clock
        self._log = self.log = log
        self._stack = contextlib.AsyncExitStack()
        self.metrics = Metrics()
        self._parts = Supervisor(clock, log, self.metrics.record_failed_part)
        self.bodies = BodyMemory(settings.body_bytes, SMALL_BODY_BYTES)
        self.answers = AnswerMemory(settings.answer_bytes)
        self.state = ServingState()
        self.peers = Peers(settings.seeds)
        self.zones = Zones(settings.regions)
        self.zones.watchers.append(self._handle_zone_order)
        self.table = TargetTable(settings.beat, self.zones)
        self.health = TargetHealth()
        self.board = LoadTracker(settings.name)
        self.queues = QueueTracker(
            settings.name, self.board.changed, shares_usage=False
        )
        self.state.watchers.append(self._handle_config)
        self.limits = LimitTable(settings.name)
        self.limits.watchers.append(self._log_limit)
        self.rests = BackoffTable(rng)
        self.reports = ReportBoard(self.board.changed)
        self.reports.pace_watchers.append(self._log_pace)
        balancer = LoadBalancer(
            self.table,
            self.health,
            self.board,
            settings.zone,
            clock,
            rng,
            self.limits,
            self.rests,
            self.reports,
        )
        freshness = Freshness(clock)
        permits = SendLimiter(
            zones=self.zones,
            limits=self.limits,
            bound=ColdBound(settings.cold_excess, settings.cold_slack),
            ask=self._request_permit,
            fallback=FallbackLimiter(rng),
            count_entries=lambda: self.state.entries,
            clock=clock,
            log=log,
            metrics=self.metrics,
        )
        self.brittle = BrittleTable()
        admission = BrittleAdmission(
            self.brittle,
            self.reports,
            balancer.count_in_flight,
            lambda: self.state.entries,
            rng,
        )
        gate = SendGate(
            self.zones,
            self.table,
            permits,
            self.rests,
            freshness,
            clock,
            self.metrics,
            admission.has_place,
        )
        leavers = LeavingTargets(self.table)
        recorder = HeaderRecorder(
            self.limits,
            self.rests,
            leavers,
            self.table,
            clock,
            log,
            self.metrics,
            self.reports,
            self.brittle,
            lambda: self.state.entries,
        )
        self.reach = Reach(
            self.table, clock, rng, log, self.metrics, gate.may_probe
        )
        calls = TargetCalls(port, gate, recorder, self.reach)
        self._prober = ReachProber(self.reach, calls.connect, clock, rng)
        self.quarantine = Quarantine(
            settings.name,
            self.table,
            calls.probe,
            Identification(self.state, calls).is_replaced,
            settings.orders,
            Trials(lambda: self.state.entries, rng),
            clock,
            log,
            self.metrics,
        )
        guard = CrashGuard(self.quarantine, clock)
        self.mover = Mover(
            calls,
            balancer,
            self.table,
            self.board,
            guard,
            clock,
            log,
            self.metrics,
        )
        self.table.watchers += [
            self.mover.handle_state_change,
            self._handle_state_change,
        ]
        self.table.restart_watchers.append(self._handle_restart)
        self.quarantine.watchers.append(self.mover.cancel_held_back)
        self._port = port
        self._links = Links(
            settings.name,
            settings.cluster_key,
            self._handle,
            Faults(),
            clock,
        )
        budget = RetryBudget(
            settings.repeat_ratio,
            settings.repeat_extra,
            settings.repeat_window,
            settings.name,
        )
        meter = UsageMeter(settings.limits, ProcessReader(), clock)
        reporter = AbilityReporter(settings.name, settings.limits, meter)
        self.peer_entries = PeerList(
            settings.peer_address,
            settings.zone,
            settings.regions,
            clock,
            rng,
        )
        self.following = VoterClient(
            name=settings.name,
            address=settings.address,
            zone=settings.zone,
            peers=self.peers,
            links=self._links,
            decode=decode,
            state=self.state,
            table=self.table,
            loads=LoadExchange(
                self.board,
                self.queues,
                budget,
                self.table,
                clock,
                ReportExchange(self.reports, self.table, log, self.metrics),
            ),
            quarantine=QuarantineExchange(self.quarantine, clock),
            limits=LimitExchange(self.limits, clock),
            leavers=leavers,
            freshness=freshness,
            currency=Currency(self.state, clock, log, self.metrics),
            parts=self._parts,
            clock=clock,
            log=log,
            report=reporter.report,
            others=self.peer_entries,
            reach=self.reach,
        )
        self.reach.watchers.append(balancer.avoidance.set_cut_off)
        forwarder = ForwardClient(
            settings.name,
            self.peer_entries,
            self._links,
            self.state,
            clock,
            log,
            self.metrics,
            port,
        )
        dispatcher = Dispatcher(
            state=self.state,
            table=self.table,
            balancer=balancer,
            health=self.health,
            loads=self.board,
            queues=self.queues,
            mover=self.mover,
            calls=calls,
            budget=budget,
            guard=guard,
            gate=gate,
            retry_after=RetryAfterScheduler(rng),
            detour=Detour(self.reach, forwarder, clock),
            clock=clock,
            log=log,
            metrics=self.metrics,
            answers=self.answers,
        )
        continuations = dispatcher.continuations
        self._origins = OriginExchange(
            continuations.origins,
            self.table,
            self._links,
            self.following.list_origin_keepers,
            clock,
            log,
        )
        continuations.publish = self._origins.publish
        continuations.hold = self._origins.hold
        continuations.ask = self._origins.ask
        continuations.confirm = self.following.confirm_targets
        self.shedding = Shedding(rng)
        self.serving = RequestHandler(
            self.state,
            Planner(self.state, rng),
            dispatcher,
            self.metrics,
            self.shedding,
        )
        self._forward_server = ForwardServer(
            handler=self.serving,
            bodies=self.bodies,
            state=self.state,
            is_leaving=lambda: self.following.leaving,
            clock=clock,
            log=log,
            metrics=self.metrics,
        )
        self._usage_watch = UsageWatch(
            meter, self.shedding, self.serving, clock, log
        )

    async def __aenter__(self) -> "Entry":
        await self._stack.enter_async_context(self._links)
        await self._listen_for_peers()
        await self._stack.enter_async_context(self.following)
        self._stack.push_async_callback(self.mover.close)
        self._stack.push_async_callback(self.quarantine.close)
        for part, work in (
            ("metrics", self.metrics.load_after_delay),
            ("silent_targets", self.mover.watch_silent_targets),
            ("origins", self._origins.run),
            ("prober", self._prober.run),
            ("usage", self._usage_watch.run),
        ):
            task = self._parts.keep(part, work)
            self._stack.callback(task.cancel)
        self._log.info("entry_started", address=self._settings.address)
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()

    async def _listen_for_peers(self) -> None:
        if not self._settings.peer_address:
            return
        host, _, port = self._settings.peer_address.rpartition(":")
        server = PeerServer(
            host,
            int(port),
            self._forward_server.handle,
            self._settings.cluster_key,
            self._clock,
            self._settings.limits.pending_peers,
        )
        self._stack.push_async_callback(self._forward_server.close)
        await self._stack.enter_async_context(server)

    def _handle(self, message, channel):
        return self.following.handle(message, channel)

    async def _request_permit(
        self, request: PermitRequest
    ) -> PermitAnswer | None:
        return await self.following.request_permit(request)

    def _log_limit(
        self, limit: VersionedLimit, before: VersionedLimit | None
    ) -> None:
        self._log.info(
            "limit_known",
            target=limit.instance,
            born=limit.born,
            rate=limit.rate,
            before=before.rate if before else None,
            version=limit.version,
            source=limit.source,
            age_ms=round(1000 * (self._clock.monotonic() - limit.seen)),
        )

    def _handle_config(self, index: RouteIndex) -> None:
        self.queues.shares_usage = self._settings.keep_room and bool(
            index.patient_services
        )
        self.queues.patient_services = index.patient_services

    def _log_pace(self, instance: str, born: int, pace: float) -> None:
        self._log.info("pace_known", target=instance, born=born, pace=pace)

    def _handle_zone_order(self, order: ZoneOrder) -> None:
        self.metrics.set_zone_evacuated(order.zone, order.evacuated)
        self._log.info(
            "evacuation_in_force",
            zone=order.zone,
            evacuated=order.evacuated,
            index=order.index,
            age_ms=round(1000 * (self._clock.monotonic() - order.since)),
        )

    def _handle_state_change(
        self, target: Target, before: TargetState | None
    ) -> None:
        if target.state is TargetState.GONE:
            self._drop_target_state(target)
            self.rests.forget(target.instance, target.born)

    def _drop_target_state(self, target: Target) -> None:
        self.reach.forget(target.instance)
        self.board.drop_remote(target.instance)
        self.health.forget(target.instance)
        self.limits.forget(target.instance, target.born)
        self.reports.forget(target.instance, target.born)

    def _handle_restart(self, target: Target) -> None:
        self._log.info(
            "target_restarted", target=target.instance, born=target.born
        )
        self.mover.cancel_restarted(target)
        self._drop_target_state(target)
        self.rests.end_incarnation(target.instance, target.born, target.heard)
        # kept connections lead to the ended incarnation: a request that may
        # run only once would be lost on them
        self._port.hang_up(target)

    async def drain(self) -> None:
        """Drain this entry, and return once the process may exit.

        Callers that resolved its address earlier are served for some seconds;
        later ones if their request must end before this process, and otherwise
        told that nothing ran. At the end whatever is left is answered.
        """
        started_at = self._clock.monotonic()
        self._log.info("leaving", active=self.serving.active)
        self.following.leave()
        seconds = (1 - EXIT_MARGIN_FRACTION) * self._settings.grace
        exit_at = started_at + seconds
        departure = self.serving.departure
        late_at = started_at + min(OPEN_SECONDS, OPEN_FRACTION * seconds)
        departure.begin(late_at, exit_at)
        late_callers_end = started_at + min(
            LATE_CALLER_SECONDS, ACCEPT_FRACTION * seconds
        )
        while (now := self._clock.monotonic()) < exit_at:
            if now >= late_callers_end and not departure.active:
                break
            await self._clock.sleep(min(POLL_SECONDS, exit_at - now))
        self._log.info("left", active=departure.active, cut=departure.end())
