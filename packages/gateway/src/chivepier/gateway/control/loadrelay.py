"""Relay for the loads that entries put on targets."""

import asyncio

from chivepier.gateway.control.loadledger import LoadLedger
from chivepier.gateway.control.loadstate import LoadState
from chivepier.gateway.control.peerloads import PeerLoads
from chivepier.gateway.control.reportrelay import ReportRelay
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import Peers
from chivepier.gateway.messages import LoadDigest
from chivepier.gateway.messages import LoadNotice
from chivepier.types import Clock
from chivepier.wire import Channel
from chivepier.wire import Links
from chivepier.wire import prepare

# Seconds for which changes are batched into one message to each entry.
BATCH_SECONDS = 0.02
# Maximum seconds between two digests to the other voters, even without
# changes: digests also serve as heartbeats.
DIGEST_INTERVAL_SECONDS = 0.25
# Seconds without a digest after which another voter counts as unreachable and
# its loads are dropped: four digests in a row are not lost by accident.
PEER_TIMEOUT_SECONDS = 1.0
# Seconds between two full updates, which repair lost ones: half of the time
# after which entries expire received loads.
FULL_SYNC_INTERVAL_SECONDS = 1.7


class LoadRelay:
    """Distributes the loads of all entries to the followers of this voter.

    Each entry follows one voter, that of its own availability zone if it is
    healthy. Voters exchange the sums over their followers, so that each change
    is sent between two zones only once.

    :param own_address: this voter's peer address
    :param peers: addresses of the voters
    :param links: connections to the other voters
    :param clock: monotonic clock
    :param log: receives dropped reports of targets
    """

    def __init__(
        self,
        own_address: str,
        peers: Peers,
        links: Links,
        clock: Clock,
        log: EventLog,
    ):
        self._reports = ReportRelay(clock, log)
        self._own_address = own_address
        self._peers = peers
        self._links = links
        self._clock = clock
        self._ledger = LoadLedger(own_address)
        self._followers: dict[str, Channel] = {}
        self._new_followers: set[str] = set()
        self._peer_loads: dict[str, PeerLoads] = {}
        self._pending = LoadState()
        self._full_sync_at = self._digest_sent_at = 0.0
        self._changed = asyncio.Event()

    def update_follower(
        self, entry: str, channel: Channel, follows: bool
    ) -> None:
        """Add or remove an entry as a follower of this voter.

        :param entry: name of the entry
        :param channel: connection to the entry
        :param follows: whether the entry follows this voter, from its beat
        """
        known = self._followers.get(entry)
        if not follows:
            if known is not None:
                del self._followers[entry]
                self._ledger.drop_entry(entry)
                self._changed.set()
            return
        if known is not channel:
            self._followers[entry] = channel
            self._new_followers.add(entry)
            self._changed.set()

    def list_channels(self) -> list[Channel]:
        """Return the channels to the followers of this voter."""
        return list(self._followers.values())

    def receive(
        self, notice: LoadNotice, channel: Channel | None = None
    ) -> None:
        """Apply a load report of a follower.

        :param notice: changed records, and what targets reported to it
        :param channel: connection to the follower
        """
        self._ledger.receive(notice, self._clock.monotonic())
        self._reports.receive(notice.reports, channel)
        self._changed.set()

    def receive_digest(self, digest: LoadDigest) -> None:
        """Apply a digest of another voter."""
        now = self._clock.monotonic()
        peer = self._peer_loads.setdefault(digest.voter, PeerLoads(now))
        peer.last_heard, before = now, peer.loads
        received = LoadState()
        received.put(digest.records, digest.queues, digest.repeats)
        if digest.whole:
            received, peer.loads = LoadState(), received
            received.put(*peer.loads.find_changes(before))
        else:
            peer.loads.add(received)
        self._pending.add(received)
        news = self._reports.receive_digest(digest.reports)
        if received or news:
            self._changed.set()

    def find_reachable_voters(self) -> tuple[str, ...]:
        """Return the sorted addresses of the reachable voters and this one."""
        now = self._clock.monotonic()
        heard = [
            address
            for address, peer in self._peer_loads.items()
            if now - peer.last_heard < PEER_TIMEOUT_SECONDS
        ]
        return tuple(sorted([self._own_address, *heard]))

    async def run(self) -> None:
        """Publish changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(DIGEST_INTERVAL_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                pass
            else:
                await self._clock.sleep(BATCH_SECONDS)
            self._changed.clear()
            self.publish()

    def publish(self) -> None:
        """Send pending changes to the followers and the other voters."""
        now = self._clock.monotonic()
        self._ledger.expire(now)
        self._expire_peers(now)
        changes, sums = self._ledger.pop_changes()
        self._pending.add(changes)
        whole = now - self._full_sync_at >= FULL_SYNC_INTERVAL_SECONDS
        if whole:
            self._full_sync_at = now
            sums = self._ledger.aggregate()
        reports = self._reports.take_digest()
        if (
            whole
            or sums
            or reports
            or now - self._digest_sent_at >= DIGEST_INTERVAL_SECONDS
        ):
            self._digest_sent_at = now
            self._send_digest(
                LoadDigest(self._own_address, whole, *sums.pack(), reports)
            )
        self._send_notices(whole)
        self._reports.publish(self._followers.values())

    def _expire_peers(self, now: float) -> None:
        for address, peer in list(self._peer_loads.items()):
            if now - peer.last_heard >= PEER_TIMEOUT_SECONDS:
                del self._peer_loads[address]
                self._pending.put(*LoadState().find_changes(peer.loads))

    def _send_digest(self, digest: LoadDigest) -> None:
        for peer in self._peers.voters:
            if peer != self._own_address:
                self._links.post(peer, digest)

    def _send_notices(self, whole: bool) -> None:
        pending, self._pending = self._pending, LoadState()
        notice = prepare(_make_notice(pending, False))
        full_notice = None
        if whole or self._new_followers:
            full_notice = prepare(_make_notice(self._read_all(), True))
        for entry, channel in list(self._followers.items()):
            if channel.closed:
                del self._followers[entry]
                self._ledger.drop_entry(entry)
            elif whole or entry in self._new_followers:
                channel.send_prepared(full_notice)
            elif pending:
                channel.send_prepared(notice)
        self._new_followers.clear()

    def _read_all(self) -> LoadState:
        state = self._ledger.copy_reports()
        for peer in self._peer_loads.values():
            state.add(peer.loads)
        return state


def _make_notice(state: LoadState, whole: bool) -> LoadNotice:
    records, queues, repeats = state.pack()
    return LoadNotice(records, queues, whole, repeats)
