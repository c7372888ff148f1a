"""The entries that are named to each other for forwarded requests."""

import collections.abc
import hashlib

from chivepier.gateway.messages import EntryBeat
from chivepier.gateway.messages import PeerRecord
from chivepier.types import Clock

# Peers named to an entry, and how many of them at most are of its own
# availability zone.
MAX_PEERS = 8
MAX_LOCAL_PEERS = 5
# Seconds between two looks at all entries, as each beat asks for its peers.
REFRESH_SECONDS = 0.2
# Weight of an entry that doesn't tell what it can do.
USUAL_WEIGHT = 1000

ListBeats = collections.abc.Callable[[], list[EntryBeat]]


class PeerDirectory:
    """Names some peers to each entry, and others when these have changed.

    Each entry gets its own draw, which changes little when entries come and
    go, so that all are named equally often.

    :param list_beats: returns the last beats of the entries that are alive
    :param clock: source of monotonic time
    """

    def __init__(self, list_beats: ListBeats, clock: Clock):
        self._list_beats = list_beats
        self._clock = clock
        self._refreshed_at = float("-inf")
        self._peers: tuple[PeerRecord, ...] = ()
        self._chosen: dict[str, tuple[PeerRecord, ...]] = {}
        self.revision = 0

    def find_changes(
        self, beat: EntryBeat, known_revision: int
    ) -> tuple[tuple[PeerRecord, ...], int]:
        """Return the peers of an entry, if they may have changed.

        :param beat: the beat of the entry
        :param known_revision: revision that the entry has received
        :returns: the peers and their revision; -1 if nothing has changed
        """
        if not beat.peer_address:
            return (), -1
        self._refresh()
        if known_revision == self.revision:
            return (), -1
        found = self._chosen.get(beat.node)
        if found is None:
            found = self._chosen[beat.node] = self._choose(beat)
        return found, self.revision

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        peers = tuple(
            PeerRecord(
                beat.node,
                beat.peer_address,
                beat.zone,
                beat.unreachable,
                beat.millicores or USUAL_WEIGHT,
            )
            for beat in sorted(self._list_beats(), key=lambda b: b.node)
            if beat.ready and beat.peer_address
        )
        if peers != self._peers:
            self._peers = peers
            self._chosen.clear()
            self.revision += 1

    def _choose(self, beat: EntryBeat) -> tuple[PeerRecord, ...]:
        others = sorted(
            (peer for peer in self._peers if peer.node != beat.node),
            # a peer that reaches nothing is named last
            key=lambda p: (len(p.unreachable), _hash(beat.node, p.node)),
        )
        local = [peer for peer in others if peer.zone == beat.zone]
        remote = [peer for peer in others if peer.zone != beat.zone]
        count = min(len(local), max(MAX_LOCAL_PEERS, MAX_PEERS - len(remote)))
        return (*local[:count], *remote[: MAX_PEERS - count])


def _hash(node: str, peer: str) -> bytes:
    return hashlib.blake2b(f"{node} {peer}".encode(), digest_size=8).digest()
