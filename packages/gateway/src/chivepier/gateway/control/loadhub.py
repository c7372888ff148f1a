"""Passing on what entries run at targets."""

import asyncio

from chivepier.gateway.control.loadledger import LoadLedger
from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.control.peerloads import PeerLoads
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import LoadDigest
from chivepier.gateway.messages import LoadNotice
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import Links
from chivepier.wire import prepare

# Seconds for which changes are gathered into one message to each entry.
GATHER_SECONDS = 0.02
# Seconds between two words to the other voters, also where nothing changed:
# they tell by these whom they hear.
DIGEST_SECONDS = 0.25
# Seconds without a word after which another voter is not heard, and what it
# told no longer counts: four words in a row are lost by no accident.
SILENT_SECONDS = 1.0
# Seconds between two tellings of everything, which heal what was lost. Half of
# the time for which entries believe what they were told.
WHOLE_SECONDS = 1.7


class LoadHub:
    """Tells the entries that follow this voter what runs everywhere.

    Each entry follows one voter, of its own availability zone where that one
    is well. Voters sum up what their entries say and tell each other, so that
    a change crosses each border between zones once.

    :param me: this voter's peer address
    :param peers: the voters' addresses
    :param links: to the other voters
    :param clock: monotonic time
    """

    def __init__(self, me: str, peers: Peers, links: Links, clock: Clock):
        self._me = me
        self._peers = peers
        self._links = links
        self._clock = clock
        self._ledger = LoadLedger(me)
        self._followers: dict[str, Channel] = {}
        self._new: set[str] = set()
        self._others: dict[str, PeerLoads] = {}
        self._news = LoadState()
        self._whole_at = self._digest_at = 0.0
        self._changed = asyncio.Event()

    def note_entry(self, entry: str, channel: Channel, follows: bool) -> None:
        """Take whether an entry follows this voter.

        :param entry: its name
        :param channel: where it is reached
        :param follows: what its beat says
        """
        known = self._followers.get(entry)
        if not follows:
            if known is not None:
                del self._followers[entry]
                self._ledger.drop(entry)
                self._changed.set()
            return
        if known is not channel:
            self._followers[entry] = channel
            self._new.add(entry)
            self._changed.set()

    def channels(self) -> list[Channel]:
        """Return where the entries that follow this voter are reached."""
        return list(self._followers.values())

    def take(self, notice: LoadNotice) -> None:
        """Take what an entry that follows this voter says."""
        self._ledger.take(notice, self._clock.monotonic())
        self._changed.set()

    def take_digest(self, digest: LoadDigest) -> None:
        """Take what another voter's entries run."""
        now = self._clock.monotonic()
        peer = self._others.setdefault(digest.voter, PeerLoads(now))
        peer.heard, before = now, peer.state
        told = LoadState()
        told.put(digest.records, digest.queues, digest.repeats)
        if digest.whole:
            told, peer.state = LoadState(), told
            told.put(*peer.state.find_changes(before))
        else:
            peer.state.add(told)
        self._news.add(told)
        if told:
            self._changed.set()

    def find_group(self) -> tuple[str, ...]:
        """Return the voters that this one hears, itself included, sorted."""
        now = self._clock.monotonic()
        heard = [
            address
            for address, peer in self._others.items()
            if now - peer.heard < SILENT_SECONDS
        ]
        return tuple(sorted([self._me, *heard]))

    async def run(self) -> None:
        """Pass on, for as long as the node lives."""
        while True:
            try:
                async with asyncio.timeout(DIGEST_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            else:
                await self._clock.sleep(GATHER_SECONDS)
            self._changed.clear()
            self.tell()

    def tell(self) -> None:
        """Tell followers and the other voters what is new."""
        now = self._clock.monotonic()
        self._ledger.expire(now)
        self._drop_silent(now)
        changes, sums = self._ledger.take_changes()
        self._news.add(changes)
        whole = now - self._whole_at >= WHOLE_SECONDS
        if whole:
            self._whole_at = now
            sums = self._ledger.sum_up()
        if whole or sums or now - self._digest_at >= DIGEST_SECONDS:
            self._digest_at = now
            self._tell_peers(LoadDigest(self._me, whole, *sums.pack()))
        self._tell_followers(whole)

    def _drop_silent(self, now: float) -> None:
        for address, peer in list(self._others.items()):
            if now - peer.heard >= SILENT_SECONDS:
                del self._others[address]
                self._news.put(*LoadState().find_changes(peer.state))

    def _tell_peers(self, digest: LoadDigest) -> None:
        for peer in self._peers.voters:
            if peer != self._me:
                self._links.post(peer, digest)

    def _tell_followers(self, whole: bool) -> None:
        news, self._news = self._news, LoadState()
        notice = prepare(_make_notice(news, False))
        everything = None
        if whole or self._new:
            everything = prepare(_make_notice(self._read_all(), True))
        for entry, channel in list(self._followers.items()):
            if channel.closed:
                del self._followers[entry]
                self._ledger.drop(entry)
            elif whole or entry in self._new:
                channel.send_prepared(everything)
            elif news:
                channel.send_prepared(notice)
        self._new.clear()

    def _read_all(self) -> LoadState:
        state = self._ledger.read()
        for peer in self._others.values():
            state.add(peer.state)
        return state


def _make_notice(state: LoadState, whole: bool) -> LoadNotice:
    records, queues, repeats = state.pack()
    return LoadNotice(records, queues, whole, repeats)
