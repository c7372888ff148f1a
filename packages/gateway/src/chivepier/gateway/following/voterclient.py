"""How an entry follows the voters."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following.configfetcher import ConfigFetcher
from chivepier.gateway.following.configfetcher import Decode
from chivepier.gateway.following.limitexchange import LimitExchange
from chivepier.gateway.following.loadexchange import LoadExchange
from chivepier.gateway.following.peers import Peers
from chivepier.gateway.following.quarantineexchange import QuarantineExchange
from chivepier.gateway.following.records import unpack_target
from chivepier.gateway.following.voterlink import VoterLink
from chivepier.gateway.following.voterselector import VoterSelector
from chivepier.gateway.following.voterstatus import VoterStatus
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
from chivepier.gateway.messages import ZoneNotice
from chivepier.gateway.messages import ZoneRecord
from chivepier.gateway.serving import ServingState
from chivepier.gateway.targets import LeavingTargets
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import Freshness
from chivepier.gateway.zones import PRESUMPTION_TTL_SECONDS
from chivepier.gateway.zones import unpack_order
from chivepier.types import Clock
from chivepier.types import Signal
from chivepier.wire import Channel
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import RefusedError

# Seconds between an entry's words to each voter; several fit into the time
# after which voters leave it out.
BEAT_SECONDS = 0.3
# Seconds to wait for a voter's answer, less than until its link is given up.
ANSWER_SECONDS = 0.8
# Seconds between two looks at which voters there are.
POLL_SECONDS = 0.2


class VoterClient:
    """One link to each voter: news at once, and what was missed by beats.

    An entry that hears no voter goes on with what it knows. Its callers are
    better served by a configuration that may be some seconds old than not
    at all, and a voter that can't hear it gives its address to no one.

    :param name: this entry's
    :param address: where callers reach it
    :param zone: its availability zone
    :param peers: where voters may be
    :param cluster_key: that peers show each other
    :param decode: reads a configuration as it was sent
    :param state: is given each newer configuration
    :param table: is given the targets
    :param loads: tells what runs here, and is told what runs elsewhere
    :param suspects: the same for requests that end targets
    :param limits: the same for limits that targets name
    :param leavers: targets whose answers said that they leave
    :param freshness: is told of each word of a voter
    :param clock: monotonic time
    :param log: what this process believes
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
        clock: Clock,
        log: EventLog,
    ):
        self._name = name
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
        freshness.request_update = self._start_beats
        self._zone_order_index = -1
        self._tasks: list[asyncio.Task] = []
        self._beat_tasks: set[asyncio.Task] = set()
        self.leaving = False

    async def __aenter__(self) -> "VoterClient":
        coroutines = (
            self._update_links(),
            self._configs.run(),
            self._loads.run(self._post_loads),
            self._report_changes(self._quarantine.changed),
            self._report_changes(self._limits.changed),
            self._report_changes(self._leavers.changed),
        )
        for work in coroutines:
            self._tasks.append(asyncio.create_task(work))
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
        """The voter that tells of the other entries."""
        return self._selector.address

    def leave(self) -> None:
        """Tell every voter at once that callers should go elsewhere."""
        self.leaving = True
        for address, voter in self._voters.items():
            self._start_beat(address, voter)

    def handle(self, message, channel: Channel) -> None:
        """Take what a voter sends unasked.

        :param message: news
        :param channel: its link
        """
        match message:
            case TargetNotice(records=records):
                self._merge_targets(records)
            case LoadNotice():
                # one that was followed before may still tell of what it knew
                if channel.peer == self._selector.address:
                    self._loads.merge(message)
            case QuarantineNotice():
                self._quarantine.take(message)
            case LimitNotice(records=records):
                self._limits.take(records)
            case ZoneNotice(records=records):
                self._merge_zone_orders(records)
            case ConfigNotice(version=version):
                self._configs.record_version(channel.peer, version)
            case other:
                raise RefusedError(f"unexpected {type(other).__name__}")

    async def _update_links(self) -> None:
        while True:
            self._quarantine.expire()
            self._limits.expire(self._table)
            wanted = set(self._peers.all)
            for address in wanted - self._voters.keys():
                voter = self._voters[address] = VoterLink()
                voter.task = asyncio.create_task(
                    self._send_beats(address, voter)
                )
            for address in self._voters.keys() - wanted:
                voter = self._voters.pop(address)
                voter.task.cancel()
            await self._clock.sleep(POLL_SECONDS)

    async def _send_beats(self, address: str, voter: VoterLink) -> None:
        while True:
            await self._send_beat(address, voter)
            await self._clock.sleep(BEAT_SECONDS)

    async def _report_changes(self, changed: Signal) -> None:
        """Tell at once what this entry found out about targets."""
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
        """Ask for one send to a target that takes few.

        :param request: the question
        :returns: the answer; ``None`` where none came
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
        task = asyncio.create_task(self._send_beat(address, voter))
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
        )
        told, limits = voter.limits.confirmed_revision, self._limits.revision
        try:
            answer = await self._links.request(address, beat, ANSWER_SECONDS)
        except LinkError as error:
            self._set_alive(address, voter, False, str(error))
            return
        self._set_alive(address, voter, True, "")
        # before what is sent by it: requests may wait for this word
        self._merge_zone_orders(answer.orders)
        self._presume_evacuations(answer.presumed)
        self._freshness.note_update()
        self._handle_quarantine(voter, answer)
        # a voter that started anew lacks what earlier beats told it: only a
        # beat that told everything counts then
        is_confirmed = answer.epoch == beat.epoch or before is None
        voter.quarantine_confirmed = own_count if is_confirmed else None
        # one that started anew is told again with the next beat
        voter.confirmed_leavers = (
            leavers if answer.epoch == beat.epoch else frozenset()
        )
        is_confirmed = answer.epoch == beat.epoch or told is None
        self._limits.handle_answer(
            voter.limits, answer, limits if is_confirmed else None
        )
        self._handle_answer(address, voter, answer)

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
        self._table.mark_alive(answer.live_targets, self._clock.monotonic())
        voter.status = VoterStatus(
            answer.zone, answer.reachable_voters, answer.first_voter
        )
        self._select_voter()
        voter.epoch, voter.targets_revision = answer.epoch, answer.revision
        self._state.entries = max(1, answer.entries)
        if answer.voters:
            self._peers.learn(answer.voters)
        self._configs.record_version(address, answer.version)

    def _merge_zone_orders(self, records: tuple[ZoneRecord, ...]) -> None:
        now = self._clock.monotonic()
        zones = self._table.zones
        for record in records:
            zones.put(unpack_order(record, now))
        # what a voter tells holds all up to its newest
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
                # a word of another release: without the others, and with the
                # beats ended, this entry would hear of nothing any more
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
                )

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
