"""A voter: replica, stores, registry and relays in one process."""

import contextlib
import random

from chivepier.gateway.control.bootstrap import open_data_dir
from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.currencylog import CurrencyLog
from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.control.hostregions import DecodeHostRegions
from chivepier.gateway.control.hostregions import HostRegions
from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.control.limitrelay import LimitRelay
from chivepier.gateway.control.loadrelay import LoadRelay
from chivepier.gateway.control.membership import Membership
from chivepier.gateway.control.peerdirectory import PeerDirectory
from chivepier.gateway.control.permitservice import PermitService
from chivepier.gateway.control.quarantinerelay import QuarantineRelay
from chivepier.gateway.control.registry import Registry
from chivepier.gateway.control.removalpolicy import RemovalPolicy
from chivepier.gateway.control.sizewatch import SizeWatch
from chivepier.gateway.control.statecache import StateCache
from chivepier.gateway.control.trouble import describe_trouble
from chivepier.gateway.control.weightwatch import WeightWatch
from chivepier.gateway.control.zonestore import ZoneStore
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import pack_past_version
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import ConfigNotice
from chivepier.gateway.messages import ConfigRequest
from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import EntryBeatAnswer
from chivepier.gateway.messages import JoinRequest
from chivepier.gateway.messages import LeaveRequest
from chivepier.gateway.messages import LoadDigest
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import OriginNotice
from chivepier.gateway.messages import OriginRequest
from chivepier.gateway.messages import PeerRecord
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.messages import TargetNotice
from chivepier.gateway.messages import VersionRecord
from chivepier.gateway.messages import WriteRequest
from chivepier.gateway.messages import ZoneNotice
from chivepier.gateway.messages import ZoneRecord
from chivepier.gateway.messages import ZoneRequest
from chivepier.gateway.origins import OriginKeeper
from chivepier.gateway.settings import VoterSettings
from chivepier.gateway.supervision import Supervisor
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import pack_order
from chivepier.gateway.zones import Zones
from chivepier.messages import AppendRequest
from chivepier.messages import SnapshotRequest
from chivepier.messages import VoteRequest
from chivepier.state import DamagedError
from chivepier.state import Machine
from chivepier.state import RecentEntries
from chivepier.state import Replica
from chivepier.state import Timing
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire import RefusedError

# Seconds between two exchanges of live targets with the other voters; entries
# skip targets that have missed several announcements.
TARGET_SYNC_INTERVAL_SECONDS = 1.0
# Seconds between two removals of expired entries, targets and records.
EXPIRY_INTERVAL_SECONDS = 5.0
# Seconds for which a voter that has read its file has known all targets:
# longer than any caller waits.
RESTORED_SECONDS = 86_400.0


class Voter:
    """Runs the services of an instance with a disk.

    :param settings: settings of this voter
    :param clock: monotonic clock that includes time in suspension
    :param log: log of this process
    :param decode_host_regions: decodes the allowed regions of each host from
        a configuration's bytes
    """

    def __init__(
        self,
        settings: VoterSettings,
        clock: Clock,
        log: EventLog,
        decode_host_regions: DecodeHostRegions = lambda body: {},
    ):
        self._decode_host_regions = decode_host_regions
        self._settings = settings
        self._clock = clock
        self._log = log
        self._stack = contextlib.AsyncExitStack()
        self._parts = Supervisor(clock, log)
        self._started_at = clock.monotonic()
        self.peers = Peers(settings.seeds)
        self.entries = EntryDirectory(clock, settings.regions)
        self._peer_directory = PeerDirectory(
            self.entries.list_live_beats, clock
        )
        self._weights = WeightWatch(self.entries, log)
        self.zones = Zones(settings.regions)
        self.table = TargetTable(settings.beat, self.zones)
        self.quarantine = QuarantineRelay(self._find_followers, clock, log)
        self.limits = LimitRelay(self._find_followers, clock, log)
        self.origins = OriginKeeper(clock, self._save_origins)
        self._state_cache = StateCache(
            settings.folder,
            self.table,
            self.quarantine.ledger,
            self.origins.table,
            clock,
            log,
        )
        self.loads: LoadRelay | None = None
        self.replica: Replica | None = None
        self.store: ConfigStore | None = None
        self.orders: ZoneStore | None = None
        self.permits: PermitService | None = None
        self.host_regions: HostRegions | None = None
        self.registry: Registry | None = None
        self.membership: Membership | None = None
        self._currency_log: CurrencyLog | None = None
        self._pushed_version = -1

    def _find_followers(self) -> list[Channel]:
        return self.loads.list_channels() if self.loads else []

    async def __aenter__(self) -> "Voter":
        settings = self._settings
        host, port = settings.address.rsplit(":", 1)
        server = PeerServer(
            host,
            int(port),
            self._handle,
            settings.cluster_key,
            self._clock,
            settings.limits.pending_peers,
        )
        links = Links(
            settings.address,
            settings.cluster_key,
            self._handle,
            server.faults,
            self._clock,
        )
        identity, storage = await open_data_dir(
            settings, self._clock, self._log
        )
        self._stack.callback(storage.close)
        self.replica = Replica(
            identity.node,
            storage,
            # Entries fetch the newest configuration, not the log.
            Machine(RecentEntries(max_entries=0)),
            links,
            self._clock,
            Timing(),
            random.Random(identity.node),
            identity.cluster,
        )
        sizes = SizeWatch(self.replica, self._clock, self._log)
        self._build_components(links)
        self.orders.presume(storage.entries)
        self.orders.apply_committed()
        await self._stack.enter_async_context(links)
        await self._stack.enter_async_context(self.replica)
        await self._stack.enter_async_context(server)
        for part, work in (
            ("membership", self.membership.run),
            ("pushes", self._push_changes),
            ("sizes", sizes.run),
            ("targets", self._sync_targets),
            ("expiry", self._expire),
            ("loads", self.loads.run),
            ("state_cache", lambda: self._state_cache.run(self.store)),
        ):
            task = self._parts.keep(part, work)
            self._stack.callback(task.cancel)
        self._log.info(
            "voter_started",
            votes=self.replica.votes(),
            **describe_trouble(self.replica.describe_condition()),
            term=storage.term,
            index=storage.last_index,
            identity=identity.node,
            cluster=identity.cluster,
            voters=[voter.node for voter in self.replica.voters],
        )
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()

    async def await_failure(self) -> Exception:
        """Return the unexpected error that has ended its part in the log.

        Returns none where the folder contradicts what this voter knows: it
        gives no vote then, but would once it has started again, and what it
        has lost could be committed no more.
        """
        replica = self.replica
        while replica.error is None or isinstance(replica.error, DamagedError):
            await replica.failed.wait()
        return replica.error

    async def leave(self) -> None:
        """Give up the vote before a planned stop, if others can spare it."""
        await self.membership.leave()

    def _build_components(self, links: Links) -> None:
        own_address = self._settings.address
        clock, log, peers = self._clock, self._log, self.peers
        leader = LeaderClient(self.replica, links)
        self.store = ConfigStore(leader, clock, log, self._push_config)
        self.orders = ZoneStore(leader, self.zones, clock, log)
        self.permits = PermitService(leader, clock, log, random.Random())
        self.host_regions = HostRegions(
            self.store, self._decode_host_regions, log
        )
        self._currency_log = CurrencyLog(self.replica, log)
        self.store.load_cached(self._state_cache.load())
        self.registry = Registry(
            own_address, self.table, self.entries, links, peers, clock, log
        )
        self.loads = LoadRelay(own_address, peers, links, clock, log)
        self.membership = Membership(
            self.replica,
            own_address,
            links,
            peers,
            clock,
            log,
            RemovalPolicy(self._settings.tolerated_losses),
        )

    def _handle(self, message, channel: Channel):
        match message:
            case AppendRequest():
                return self.replica.handle_append(message)
            case VoteRequest():
                return self.replica.handle_vote(message)
            case SnapshotRequest():
                return self.replica.handle_snapshot(message)
            case EntryBeat():
                return self._handle_beat(message, channel)
            case TargetNotice():
                return self.registry.merge(message)
            case LoadNotice():
                return self.loads.receive(message, channel)
            case LoadDigest():
                return self.loads.receive_digest(message)
            case ConfigRequest() | WriteRequest():
                return self.store.handle(message)
            case ZoneRequest():
                return self.orders.handle(message)
            case OriginNotice():
                return self.origins.receive(message)
            case OriginRequest():
                return self.origins.answer(message)
            case PermitRequest():
                return self.permits.handle(message)
            case JoinRequest():
                return self.membership.handle(message)
            case LeaveRequest():
                return self.membership.handle_leave(message)
            case other:
                raise RefusedError(f"unexpected {type(other).__name__}")

    def _handle_beat(
        self, beat: EntryBeat, channel: Channel
    ) -> EntryBeatAnswer:
        if silence := self.entries.find_silence(beat.node):
            self._log.info(
                "entry_heard_again",
                entry=beat.node,
                silent_ms=round(1000 * silence),
                version=beat.version,
            )
        if self.entries.record_beat(beat, channel):
            self._log.info(
                "entry_known", entry=beat.node, address=beat.address
            )
        self.loads.update_follower(beat.node, channel, beat.follows)
        config = self.store.find_committed()
        version = config.version if config else -1
        voters: tuple[str, ...] = ()
        live_targets: tuple[str, ...] = ()
        if beat.follows:
            registry = self.registry
            live_targets = registry.find_live_names(beat.epoch, beat.revision)
        if beat.follows or beat.epoch != self.registry.epoch:
            voters = tuple(v.address for v in self.replica.voters)
            voters = voters or self.peers.voters
        observed = QuarantineNotice(beat.endings, beat.clearances)
        if self.quarantine.receive(observed):
            self._state_cache.mark_dirty()
        self.limits.receive(beat.limits)
        for record in beat.leaving:
            self.registry.mark_leaving(record.instance, record.born)
        peers, peers_revision = self._find_peers(beat)
        missing = self.quarantine.find_missing(beat, self.registry.epoch)
        reachable = self.loads.find_reachable_voters()
        return EntryBeatAnswer(
            self.registry.epoch,
            self.registry.revision,
            version,
            self.entries.count(),
            voters,
            self.registry.find_changed_records(beat.epoch, beat.revision),
            self._settings.zone,
            len(reachable),
            reachable[0],
            live_targets,
            self.quarantine.ledger.revision,
            missing.endings,
            missing.clearances,
            self._find_orders(beat.orders),
            self.orders.find_presumed(),
            self.limits.board.revision,
            self.limits.find_missing(beat, self.registry.epoch),
            peers,
            peers_revision,
            keeps_origins=True,
            targets_known_for=self._count_known_seconds(),
            is_current=self._currency_log.tell(version),
            past_versions=self._find_past_versions(beat),
        )

    def _count_known_seconds(self) -> float:
        """Return for how long this voter has known all targets.

        It hears of those that live, others that it has missed are not told.
        """
        if self._state_cache.restored:
            return RESTORED_SECONDS
        return self._clock.monotonic() - self._started_at

    def _find_peers(
        self, beat: EntryBeat
    ) -> tuple[tuple[PeerRecord, ...], int]:
        """Return the changed peers of an entry that follows this voter."""
        if not beat.follows:
            return (), -1
        is_same = beat.epoch == self.registry.epoch
        known = beat.peers_revision if is_same else -1
        return self._peer_directory.find_changes(beat, known)

    def _find_past_versions(
        self, beat: EntryBeat
    ) -> tuple[VersionRecord, ...]:
        """Return the versions that an entry may not have known in time."""
        if beat.epoch == self.registry.epoch:
            return ()
        now = self._clock.monotonic()
        return tuple(
            pack_past_version(past, now) for past in self.table.past_versions
        )

    def _find_orders(self, index: int) -> tuple[ZoneRecord, ...]:
        """Return all zone orders if any is newer than a log index."""
        if self.zones.last_index <= index:
            return ()
        now = self._clock.monotonic()
        return tuple(pack_order(order, now) for order in self.zones.orders)

    def _save_origins(self) -> None:
        self._state_cache.mark_dirty()

    def measure_silence(self, target: Target) -> float:
        """Return the seconds since the last sign of life of a target."""
        return max(0.0, self._clock.monotonic() - target.heard)

    def knows_zone(self, zone: str) -> bool:
        """Tell whether the settings or any target contain a zone."""
        if self.zones.has_zone(zone):
            return True
        return any(target.zone == zone for target in self.table)

    async def _push_changes(self) -> None:
        """Push each new configuration and zone order to the entries."""
        while True:
            if self.orders.apply_committed():
                self._state_cache.mark_dirty()
                notice = ZoneNotice(self._find_orders(-1))
                for channel in self.entries.list_channels():
                    channel.send(notice)
            self._push_config()
            self.peers.learn(v.address for v in self.replica.voters)
            await self.replica.machine.changed.wait(1.0)

    def _push_config(self) -> None:
        config = self.store.find_committed()
        if config is None or config.version <= self._pushed_version:
            return
        self._pushed_version = config.version
        self._log.info("configuration_known", version=config.version)
        self._state_cache.note_config()
        notice = ConfigNotice(config.version)
        for channel in self.entries.list_channels():
            channel.send(notice)

    async def _sync_targets(self) -> None:
        while True:
            await self._clock.sleep(TARGET_SYNC_INTERVAL_SECONDS)
            self.registry.sync_peers()

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_INTERVAL_SECONDS)
            self.entries.expire()
            self._weights.check()
            self.registry.expire()
            self.quarantine.expire()
            self.origins.table.expire(self._clock.monotonic())
            self.limits.board.expire(t.instance for t in self.table)
