"""An entry's client of the voters."""

import asyncio
import collections.abc
import functools

import attrs

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following.catchup import CatchUp
from chivepier.gateway.following.configfetcher import ConfigFetcher
from chivepier.gateway.following.configfetcher import Decode
from chivepier.gateway.following.currency import Currency
from chivepier.gateway.following.limitexchange import LimitExchange
from chivepier.gateway.following.loadexchange import LoadExchange
from chivepier.gateway.following.peers import Peers
from chivepier.gateway.following.quarantineexchange import QuarantineExchange
from chivepier.gateway.following.records import unpack_past_version
from chivepier.gateway.following.records import unpack_target
from chivepier.gateway.following.voterlink import VoterLink
from chivepier.gateway.following.voterselector import VoterSelector
from chivepier.gateway.following.voterstatus import VoterStatus
from chivepier.gateway.forwarding import PeerList
from chivepier.gateway.messages import ConfigNotice
from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import EntryBeatAnswer
from chivepier.gateway.messages import LeavingRecord
from chivepier.gateway.messages import LimitNotice
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.messages import QuarantineNotice
from chivepier.gateway.messages import TargetNotice
from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.messages import VersionRecord
from chivepier.gateway.messages import ZoneNotice
from chivepier.gateway.messages import ZoneRecord
from chivepier.gateway.reach import Reach
from chivepier.gateway.serving import ServingState
from chivepier.gateway.supervision import Supervisor
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.usage import Ability
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import PRESUMPTION_TTL_SECONDS
from chivepier.gateway.zones import unpack_order
from chivepier.types import Clock
from chivepier.types import Signal
from chivepier.wire import Channel
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import RefusedError

# Seconds between an entry's beats to each voter; several fit into the time
# after which voters consider the entry gone.
BEAT_SECONDS = 0.3
# Seconds to wait for a voter's answer; shorter than the timeout of its link.
ANSWER_SECONDS = 0.8
# Seconds between two checks of the list of voters.
POLL_SECONDS = 0.2


def _report_nothing(now: float) -> Ability:
    return Ability()


class VoterClient:
    """Keeps a link to each voter: changes are pushed, beats repair gaps.

    An entry that reaches no voter continues with its last known state:
    serving callers with a configuration some seconds old is better than not
    serving them, and a voter that can't reach the entry gives its address
    to no caller.

    :param name: name of this entry
    :param address: address at which callers reach it
    :param zone: its availability zone
    :param peers: addresses of possible voters
    :param links: links to the voters
    :param decode: decodes a serialized configuration
    :param state: receives each newer configuration
    :param table: receives the targets
    :param loads: exchanges the loads of the entries
    :param quarantine: exchanges records of requests that crashed targets
    :param limits: exchanges the rate limits that targets announced
    :param leavers: targets that announced in a response that they leave
    :param freshness: is notified of each answer of a voter
    :param currency: is notified of versions, and of who knows the newest
    :param clock: source of monotonic time
    :param log: event log of this process
    :param report: returns what this entry can do at a monotonic time
    :param others: receives the entries that requests can be forwarded to
    :param reach: tells which services are out of reach of this entry
    :param parts: runs what this client does; a new one if omitted
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        peers: Peers,
        links: Links,
        decode: Decode,
        state: ServingState,
        table: TargetTable,
        loads: LoadExchange,
        quarantine: QuarantineExchange,
        limits: LimitExchange,
        leavers: LeavingTargets,
        freshness: Freshness,
        currency: Currency,
        clock: Clock,
        log: EventLog,
        report: collections.abc.Callable[[float], Ability] = _report_nothing,
        others: PeerList | None = None,
        reach: Reach | None = None,
        parts: Supervisor | None = None,
    ):
        self._parts = parts or Supervisor(clock, log)
        self._others = others
        self._reach = reach
        self._name = name
        self._report = report
        self._address = address
        self._zone = zone
        self._peers = peers
        self._links = links
        self._configs = ConfigFetcher(links, decode, state, clock, log)
        self._state = state
        self._table = table
        self._clock = clock
        self._log = log
        self._voters: dict[str, VoterLink] = {}
        self._selector = VoterSelector(zone, clock)
        self._loads = loads
        self._quarantine = quarantine
        self._limits = limits
        self._leavers = leavers
        self._freshness = freshness
        self._currency = currency
        freshness.request_update = self._start_beats
        self._zone_order_index = -1
        self._tasks: list[asyncio.Task] = []
        self._beat_tasks: set[asyncio.Task] = set()
        self._catch_up = CatchUp(self._start_beats, clock)
        self.leaving = False

    async def __aenter__(self) -> "VoterClient":
        keep = self._parts.keep
        self._tasks += (
            keep("links", self._update_links),
            keep("configurations", self._configs.run),
            keep("loads", lambda: self._loads.run(self._post_loads)),
        )
        for reported in (
            self._quarantine,
            self._limits,
            self._leavers,
            self._reach,
        ):
            if reported is not None:
                work = functools.partial(
                    self._report_changes, reported.changed
                )
                self._tasks.append(keep("reports", work))
        return self

    async def __aexit__(self, *exc) -> None:
        tasks = [*self._tasks, *self._beat_tasks]
        tasks += [v.task for v in self._voters.values() if v.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        known = self._state.index is not None
        return known and not self.leaving

    @property
    def followed_voter(self) -> str | None:
        """Address of the voter that sends the loads of other entries."""
        return self._selector.address

    async def confirm_targets(self, seconds: float) -> bool:
        """Ask all voters anew; tell whether no target can have been missed.

        What they said before is not enough: an entry that is cut off or has
        stood still takes them for alive, and does not know of the newest
        targets.

        :param seconds: for how long the targets must be known to most voters
        """
        return await self._catch_up.wait(
            lambda asked_at: self._is_confirmed(asked_at, seconds)
        )

    def _is_confirmed(self, asked_at: float, seconds: float) -> bool:
        voters = self._peers.voters
        telling = 0
        for voter in map(self._voters.get, voters):
            if voter is not None and voter.asked_at >= asked_at:
                telling += voter.knows_since <= asked_at - seconds
        return 2 * telling > len(voters)

    def list_origin_keepers(self) -> dict[str, str]:
        """Return the voters that keep where streams began; epochs by voter."""
        return {
            address: voter.epoch
            for address, voter in self._voters.items()
            if voter.alive and voter.keeps_origins
        }

    def leave(self) -> None:
        """Notify every voter at once that this entry is leaving."""
        self.leaving = True
        for address, voter in self._voters.items():
            self._start_beat(address, voter)

    def handle(self, message, channel: Channel) -> None:
        """Handle a message pushed by a voter.

        :param message: the message
        :param channel: link that it came over
        """
        match message:
            case TargetNotice(records=records):
                self._merge_targets(records)
            case LoadNotice():
                # a voter followed before may still push outdated loads
                if channel.peer == self._selector.address:
                    self._loads.merge(message)
            case QuarantineNotice():
                self._quarantine.take(message)
            case LimitNotice(records=records):
                self._limits.take(records)
            case ZoneNotice(records=records):
                self._merge_zone_orders(records)
            case ConfigNotice(version=version):
                self._note_version(channel.peer, version)
            case other:
                raise RefusedError(f"unexpected {type(other).__name__}")

    async def _update_links(self) -> None:
        while True:
            self._quarantine.expire()
            self._limits.expire(self._table)
            self._currency.report()
            wanted = set(self._peers.all)
            for address in wanted - self._voters.keys():
                voter = self._voters[address] = VoterLink()
                work = functools.partial(self._send_beats, address, voter)
                voter.task = self._parts.keep("beats", work)
            for address in self._voters.keys() - wanted:
                voter = self._voters.pop(address)
                voter.task.cancel()
                self._configs.forget(address)
            await self._clock.sleep(POLL_SECONDS)

    async def _send_beats(self, address: str, voter: VoterLink) -> None:
        while True:
            await self._send_beat(address, voter)
            await self._clock.sleep(BEAT_SECONDS)

    async def _report_changes(self, changed: Signal) -> None:
        """Send a beat to each reachable voter as soon as there are changes."""
        while True:
            await changed.wait()
            for address, voter in self._voters.items():
                if voter.alive:
                    self._start_beat(address, voter)

    def _start_beats(self) -> None:
        for address, voter in self._voters.items():
            self._start_beat(address, voter)

    async def request_permit(
        self, request: PermitRequest
    ) -> PermitAnswer | None:
        """Request a permit for one send to a cold or rate-limited target.

        :param request: the request for the permit
        :returns: the answer; ``None`` if there was none
        """
        if self._selector.address is None:
            return None
        try:
            answer = await self._links.request(
                self._selector.address, request, request.permit_seconds
            )
        except LinkError as error:
            self._log.warn(
                "permit_lost", target=request.instance, error=str(error)
            )
            return None
        return answer

    def _start_beat(self, address: str, voter: VoterLink) -> None:
        task = self._parts.start("beats", self._send_beat(address, voter))
        self._beat_tasks.add(task)
        task.add_done_callback(self._beat_tasks.discard)

    async def _send_beat(self, address: str, voter: VoterLink) -> None:
        index = self._state.index
        before, own_count = voter.quarantine_confirmed, self._quarantine.count
        unconfirmed = self._quarantine.find_unconfirmed(before)
        leavers = frozenset(
            LeavingRecord(target.instance, target.born)
            for target in self._leavers.list_unconfirmed()
        )
        beat = EntryBeat(
            self._name,
            self._address,
            self._zone,
            self.ready,
            index.version if index else -1,
            voter.epoch,
            voter.targets_revision,
            address == self._selector.address,
            voter.quarantine_revision,
            unconfirmed.endings,
            unconfirmed.clearances,
            self._zone_order_index,
            voter.limits.received_revision,
            self._limits.find_unconfirmed(voter.limits),
            tuple(leavers - voter.confirmed_leavers),
            peer_address=self._others.own_address if self._others else "",
            unreachable=self._reach.lost_services if self._reach else (),
            peers_revision=voter.peers_revision,
            **attrs.asdict(self._report(self._clock.monotonic())),
        )
        limits_confirmed, limits_revision = (
            voter.limits.confirmed_revision,
            self._limits.revision,
        )
        sent_at = self._clock.monotonic()
        try:
            answer = await self._links.request(address, beat, ANSWER_SECONDS)
        except LinkError as error:
            self._set_alive(address, voter, False, str(error))
            return
        self._set_alive(address, voter, True, "")
        # before notifying waiting requests, which must see these zone orders
        self._merge_zone_orders(answer.orders)
        self._presume_evacuations(answer.presumed)
        self._freshness.note_update(sent_at)
        self._currency.note_version(answer.version, address)
        self._currency.note_answer(answer.is_current, sent_at)
        self._handle_quarantine(voter, answer)
        # a restarted voter lacks the records of earlier beats: its answer
        # confirms a beat only if that beat carried everything
        is_confirmed = answer.epoch == beat.epoch or before is None
        voter.quarantine_confirmed = own_count if is_confirmed else None
        # a restarted voter gets them again with the next beat
        voter.confirmed_leavers = (
            leavers if answer.epoch == beat.epoch else frozenset()
        )
        is_confirmed = answer.epoch == beat.epoch or limits_confirmed is None
        self._limits.handle_answer(
            voter.limits, answer, limits_revision if is_confirmed else None
        )
        self._handle_answer(address, voter, answer)
        # after merging, as others may wait for it
        voter.asked_at = max(voter.asked_at, sent_at)
        voter.knows_since = sent_at - answer.targets_known_for
        self._catch_up.note_answer()
        if beat.follows:
            is_same = answer.epoch == beat.epoch
            self._table.note_update(sent_at, voter.followed and is_same)
        voter.followed = beat.follows

    def _set_alive(
        self, address: str, voter: VoterLink, alive: bool, reason: str
    ) -> None:
        if voter.alive is alive:
            return
        voter.alive = alive
        self._select_voter()
        write = self._log.info if alive else self._log.warn
        write("voter_link", peer=address, alive=alive, reason=reason)

    def _handle_answer(
        self, address: str, voter: VoterLink, answer: EntryBeatAnswer
    ) -> None:
        self._merge_targets(answer.records)
        self._merge_past_versions(answer.past_versions)
        self._table.mark_alive(answer.live_targets, self._clock.monotonic())
        voter.status = VoterStatus(
            answer.zone, answer.reachable_voters, answer.first_voter
        )
        self._select_voter()
        voter.epoch, voter.targets_revision = answer.epoch, answer.revision
        voter.keeps_origins = answer.keeps_origins
        self._state.entries = max(1, answer.entries)
        if self._others is not None and answer.peers_revision >= 0:
            self._others.replace(answer.peers)
            voter.peers_revision = answer.peers_revision
        if answer.voters:
            self._peers.learn(answer.voters)
        self._note_version(address, answer.version)

    def _note_version(self, address: str, version: int) -> None:
        self._currency.note_version(version, address)
        self._configs.record_version(address, version)

    def _merge_zone_orders(self, records: tuple[ZoneRecord, ...]) -> None:
        now = self._clock.monotonic()
        zones = self._table.zones
        for record in records:
            zones.put(unpack_order(record, now))
        # a voter sends all orders up to its newest one
        newest = max((record.index for record in records), default=-1)
        self._zone_order_index = max(self._zone_order_index, newest)

    def _presume_evacuations(self, names: tuple[str, ...]) -> None:
        until = self._clock.monotonic() + PRESUMPTION_TTL_SECONDS
        for zone in names:
            self._table.zones.presume(zone, until)

    def _handle_quarantine(
        self, voter: VoterLink, answer: EntryBeatAnswer
    ) -> None:
        notice = QuarantineNotice(answer.endings, answer.clearances)
        self._quarantine.take(notice)
        voter.quarantine_revision = answer.quarantine_revision

    def _merge_targets(self, records: tuple[TargetRecord, ...]) -> None:
        now = self._clock.monotonic()
        for record in records:
            try:
                is_new = self._table.put(unpack_target(record, now))
            except ValueError as error:
                # a value of another release: raising here would skip the
                # other targets and end the beats to this voter
                self._log.warn(
                    "target_unread", target=record.instance, error=str(error)
                )
                continue
            if is_new:
                self._log.info(
                    "target_known",
                    target=record.instance,
                    state=record.state,
                    number=record.number,
                    age=round(record.age, 3),
                    software=record.software_version,
                )

    def _merge_past_versions(self, records: tuple[VersionRecord, ...]) -> None:
        now = self._clock.monotonic()
        for record in records:
            self._table.past_versions.put(unpack_past_version(record, now))

    def _select_voter(self) -> None:
        before = self._selector.address
        alive = {a: v.status for a, v in self._voters.items() if v.alive}
        if not self._selector.choose(alive):
            return
        self._log.info(
            "hub_chosen", peer=self._selector.address, before=before
        )
        self._loads.resend_all()
        for address in (before, self._selector.address):
            voter = self._voters.get(address)
            if voter is not None and voter.alive:
                self._start_beat(address, voter)

    def _post_loads(self, notice: LoadNotice) -> None:
        if self._selector.address is not None:
            self._links.post(self._selector.address, notice)
