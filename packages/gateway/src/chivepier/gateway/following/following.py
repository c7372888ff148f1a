"""How an entry follows the voters."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following.configfetch import ConfigFetch
from chivepier.gateway.following.configfetch import Decode
from chivepier.gateway.following.followedvoter import FollowedVoter
from chivepier.gateway.following.hubchoice import HubChoice
from chivepier.gateway.following.limitexchange import LimitExchange
from chivepier.gateway.following.loadexchange import LoadExchange
from chivepier.gateway.following.peers import Peers
from chivepier.gateway.following.quarantineexchange import QuarantineExchange
from chivepier.gateway.following.records import unpack_target
from chivepier.gateway.following.voterstanding import VoterStanding
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
LOOK_SECONDS = 0.2


class Following:
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
        suspects: QuarantineExchange,
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
        self._configs = ConfigFetch(links, decode, state, clock, log)
        self._state = state
        self._table = table
        self._clock = clock
        self._log = log
        self._voters: dict[str, FollowedVoter] = {}
        self._hub = HubChoice(zone, clock)
        self._loads = loads
        self._suspects = suspects
        self._limits = limits
        self._leavers = leavers
        self._freshness = freshness
        freshness.request_update = self._beat_all
        self._orders = -1
        self._tasks: list[asyncio.Task] = []
        self._beats: set[asyncio.Task] = set()
        self.leaving = False

    async def __aenter__(self) -> "Following":
        works = (
            self._keep_voters(),
            self._configs.run(),
            self._loads.run(self._post_loads),
            self._report(self._suspects.changed),
            self._report(self._limits.changed),
            self._report(self._leavers.changed),
        )
        for work in works:
            self._tasks.append(asyncio.create_task(work))
        return self

    async def __aexit__(self, *exc) -> None:
        tasks = [*self._tasks, *self._beats]
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
    def hub(self) -> str | None:
        """The voter that tells of the other entries."""
        return self._hub.address

    def leave(self) -> None:
        """Tell every voter at once that callers should go elsewhere."""
        self.leaving = True
        for address, voter in self._voters.items():
            self._beat_now(address, voter)

    def handle(self, message, channel: Channel) -> None:
        """Take what a voter sends unasked.

        :param message: news
        :param channel: its link
        """
        match message:
            case TargetNotice(records=records):
                self._merge(records)
            case LoadNotice():
                # one that was followed before may still tell of what it knew
                if channel.peer == self._hub.address:
                    self._loads.merge(message)
            case QuarantineNotice():
                self._suspects.take(message)
            case LimitNotice(records=records):
                self._limits.take(records)
            case ZoneNotice(records=records):
                self._take_orders(records)
            case ConfigNotice(version=version):
                self._configs.note(channel.peer, version)
            case other:
                raise RefusedError(f"unexpected {type(other).__name__}")

    async def _keep_voters(self) -> None:
        while True:
            self._suspects.expire()
            self._limits.expire(self._table)
            wanted = set(self._peers.all)
            for address in wanted - self._voters.keys():
                voter = self._voters[address] = FollowedVoter()
                voter.task = asyncio.create_task(self._follow(address, voter))
            for address in self._voters.keys() - wanted:
                voter = self._voters.pop(address)
                voter.task.cancel()
            await self._clock.sleep(LOOK_SECONDS)

    async def _follow(self, address: str, voter: FollowedVoter) -> None:
        while True:
            await self._beat(address, voter)
            await self._clock.sleep(BEAT_SECONDS)

    async def _report(self, changed: Signal) -> None:
        """Tell at once what this entry found out about targets."""
        while True:
            await changed.wait()
            for address, voter in self._voters.items():
                if voter.alive:
                    self._beat_now(address, voter)

    def _beat_all(self) -> None:
        for address, voter in self._voters.items():
            self._beat_now(address, voter)

    async def ask_permit(self, request: PermitRequest) -> PermitAnswer | None:
        """Ask for one send to a target that takes few.

        :param request: the question
        :returns: the answer; ``None`` where none came
        """
        if self._hub.address is None:
            return None
        try:
            answer = await self._links.request(
                self._hub.address, request, request.permit_seconds
            )
        except LinkError as error:
            self._log.warn(
                "permit_lost", target=request.instance, error=str(error)
            )
            return None
        return answer

    def _beat_now(self, address: str, voter: FollowedVoter) -> None:
        task = asyncio.create_task(self._beat(address, voter))
        self._beats.add(task)
        task.add_done_callback(self._beats.discard)

    async def _beat(self, address: str, voter: FollowedVoter) -> None:
        index = self._state.index
        before, saw = voter.confirmed, self._suspects.count
        unconfirmed = self._suspects.find_unconfirmed(before)
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
            voter.revision,
            address == self._hub.address,
            voter.held,
            unconfirmed.endings,
            unconfirmed.clearances,
            self._orders,
            voter.limits.held,
            self._limits.find_untold(voter.limits),
            tuple(leavers - voter.leavers),
        )
        told, limits = voter.limits.told, self._limits.revision
        try:
            answer = await self._links.request(address, beat, ANSWER_SECONDS)
        except LinkError as error:
            self._note(address, voter, False, str(error))
            return
        self._note(address, voter, True, "")
        # before what is sent by it: requests may wait for this word
        self._take_orders(answer.orders)
        self._take_presumed(answer.presumed)
        self._freshness.note_update()
        self._take_suspects(voter, answer)
        # a voter that started anew lacks what earlier beats told it: only a
        # beat that told everything counts then
        knows = answer.epoch == beat.epoch or before is None
        voter.confirmed = saw if knows else None
        # one that started anew is told again with the next beat
        voter.leavers = leavers if answer.epoch == beat.epoch else frozenset()
        knows = answer.epoch == beat.epoch or told is None
        self._limits.take_answer(
            voter.limits, answer, limits if knows else None
        )
        self._take(address, voter, answer)

    def _note(
        self, address: str, voter: FollowedVoter, alive: bool, reason: str
    ) -> None:
        if voter.alive is alive:
            return
        voter.alive = alive
        self._choose_hub()
        write = self._log.info if alive else self._log.warn
        write("voter_link", peer=address, alive=alive, reason=reason)

    def _take(
        self, address: str, voter: FollowedVoter, answer: EntryBeatAnswer
    ) -> None:
        self._merge(answer.records)
        self._table.mark_alive(answer.live_targets, self._clock.monotonic())
        voter.standing = VoterStanding(
            answer.zone, answer.reachable_voters, answer.first_voter
        )
        self._choose_hub()
        voter.epoch, voter.revision = answer.epoch, answer.revision
        self._state.entries = max(1, answer.entries)
        if answer.voters:
            self._peers.learn(answer.voters)
        self._configs.note(address, answer.version)

    def _take_orders(self, records: tuple[ZoneRecord, ...]) -> None:
        now = self._clock.monotonic()
        zones = self._table.zones
        for record in records:
            zones.put(unpack_order(record, now))
        # what a voter tells holds all up to its newest
        newest = max((record.index for record in records), default=-1)
        self._orders = max(self._orders, newest)

    def _take_presumed(self, names: tuple[str, ...]) -> None:
        until = self._clock.monotonic() + PRESUMPTION_TTL_SECONDS
        for zone in names:
            self._table.zones.presume(zone, until)

    def _take_suspects(
        self, voter: FollowedVoter, answer: EntryBeatAnswer
    ) -> None:
        notice = QuarantineNotice(answer.endings, answer.clearances)
        self._suspects.take(notice)
        voter.held = answer.quarantine_revision

    def _merge(self, records: tuple[TargetRecord, ...]) -> None:
        now = self._clock.monotonic()
        for record in records:
            try:
                news = self._table.put(unpack_target(record, now))
            except ValueError as error:
                # a word of another release: without the others, and with the
                # beats ended, this entry would hear of nothing any more
                self._log.warn(
                    "target_unread", target=record.instance, error=str(error)
                )
                continue
            if news:
                self._log.info(
                    "target_known",
                    target=record.instance,
                    state=record.state,
                    number=record.number,
                    age=round(record.age, 3),
                )

    def _choose_hub(self) -> None:
        before = self._hub.address
        alive = {a: v.standing for a, v in self._voters.items() if v.alive}
        if not self._hub.choose(alive):
            return
        self._log.info("hub_chosen", peer=self._hub.address, before=before)
        self._loads.tell_anew()
        for address in (before, self._hub.address):
            voter = self._voters.get(address)
            if voter is not None and voter.alive:
                self._beat_now(address, voter)

    def _post_loads(self, notice: LoadNotice) -> None:
        if self._hub.address is not None:
            self._links.post(self._hub.address, notice)
