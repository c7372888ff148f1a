"""Directory of the entries that callers may connect to."""

import collections
import collections.abc
import functools
import hashlib
import math

from chivepier.gateway.control.entryweights import compute_weights
from chivepier.gateway.control.entryweights import select_by_weight
from chivepier.gateway.control.knownentry import KnownEntry
from chivepier.gateway.messages import EntryBeat
from chivepier.types import Clock
from chivepier.wire import Channel

# Seconds after its last beat for which an entry counts as alive: a few beats.
LIVENESS_TIMEOUT_SECONDS = 1.2
# Seconds of silence after which an entry is removed and its share of common
# budgets goes to the others.
RETENTION_SECONDS = 20.0
# Seconds after its start in which a voter returns no addresses: entries
# reconnect one by one, and the first would get every caller.
STARTUP_DELAY_SECONDS = 0.35
# Share of returned addresses in the caller's own availability zone; the others
# serve the caller if that zone fails.
LOCAL_SHARE = 0.75
# Share of the entries that must reach all services for the others to be left
# out.
MIN_CONNECTED_SHARE = 0.5
# Seconds between two rotations of the returned local entries if there are more
# than needed. Callers close connections to entries that are no longer
# returned, so each rotation replaces only a share of them.
ROTATION_SECONDS = 10.0
ROTATION_SHARE = 0.25


class EntryDirectory:
    """Entries that send beats to this voter.

    :param clock: monotonic clock
    :param regions: region of each availability zone, by zone name
    """

    def __init__(
        self,
        clock: Clock,
        regions: collections.abc.Mapping[str, str] | None = None,
    ):
        self._clock = clock
        self._regions = dict(regions or {})
        self._started = clock.monotonic()
        self._entries: dict[str, KnownEntry] = {}

    def record_beat(self, beat: EntryBeat, channel: Channel) -> bool:
        """Record an entry's beat.

        :param beat: the received beat
        :param channel: connection to the entry
        :returns: whether the entry was unknown before
        """
        known = self._entries.get(beat.node)
        now = self._clock.monotonic()
        self._entries[beat.node] = KnownEntry(beat, channel, now)
        return known is None

    def find_silence(self, node: str) -> float:
        """Return for how long an entry that beats again was out of touch.

        :param node: name of the entry
        :returns: seconds; zero if it is not known, or counts as alive
        """
        known = self._entries.get(node)
        if known is None:
            return 0.0
        silence = self._clock.monotonic() - known.last_heard
        return silence if silence >= LIVENESS_TIMEOUT_SECONDS else 0.0

    def measure_silence(self, node: str) -> float:
        """Return the seconds since the last beat of a known entry."""
        return self._clock.monotonic() - self._entries[node].last_heard

    def list_addresses(
        self,
        zone: str = "",
        max_count: int | None = None,
        region: str = "",
        allowed: frozenset[str] | None = None,
    ) -> list[str]:
        """Return the entry addresses for callers of an availability zone.

        Entries that can do less than others are named to fewer callers. The
        selection is deterministic, so that all voters return the same
        addresses: callers close connections to addresses no longer returned.
        It is independent of arrival order, so that no entry is left out.

        If no entry is alive, the known ones are returned, as this voter
        itself may be partitioned from the entries.

        :param zone: availability zone of the caller
        :param max_count: maximum number of addresses; all by default
        :param region: region of the caller
        :param allowed: regions in which the caller's requests may be served,
            besides its own; ``None`` for all
        :returns: addresses; empty shortly after the start of this voter
        """
        now = self._clock.monotonic()
        if now - self._started < STARTUP_DELAY_SECONDS:
            return []
        ready = [e for e in self._entries.values() if e.beat.ready]
        alive = [
            e for e in ready if now - e.last_heard < LIVENESS_TIMEOUT_SECONDS
        ]
        beats = [entry.beat for entry in alive or ready]
        beats = _prefer_connected(beats)
        beats = self._filter_by_region(beats, region, allowed)
        if max_count is not None:
            beats = select_by_weight(beats, zone, self._list_zones())
        if max_count is None or len(beats) <= max_count:
            return [beat.address for beat in beats]
        return _select(beats, zone, max_count, now)

    def _filter_by_region(
        self,
        beats: list[EntryBeat],
        region: str,
        allowed: frozenset[str] | None,
    ) -> list[EntryBeat]:
        """Drop entries in regions that the caller's requests may not enter.

        If none remains, all are returned: an entry answers with an error if no
        target may serve a request, while without addresses a caller gets none.
        """
        if allowed is None:
            return beats
        permitted = allowed | {region}
        filtered = [b for b in beats if self._regions.get(b.zone) in permitted]
        return filtered or beats

    def compute_weights(self) -> dict[str, int]:
        """Return the weight of each ready entry, by its name."""
        beats = [b for b in self.list_beats() if b.ready]
        weights = compute_weights(beats)
        return {beat.node: weight for beat, weight in zip(beats, weights)}

    def _list_zones(self) -> set[str]:
        zones = {entry.beat.zone for entry in self._entries.values()}
        return zones | self._regions.keys()

    def list_channels(self, exclude: str = "") -> list[Channel]:
        """Return the open channels to all entries, for push messages.

        :param exclude: name of an entry to leave out
        """
        return [
            entry.channel
            for node, entry in self._entries.items()
            if node != exclude and not entry.channel.closed
        ]

    def list_live_beats(self) -> list[EntryBeat]:
        """Return the last beat of each entry that was heard of late."""
        since = self._clock.monotonic() - LIVENESS_TIMEOUT_SECONDS
        return [
            entry.beat
            for entry in self._entries.values()
            if entry.last_heard > since
        ]

    def list_beats(self) -> list[EntryBeat]:
        """Return the last beat of each known entry."""
        return [entry.beat for entry in self._entries.values()]

    def count(self) -> int:
        """Return the number of known entries, at least 1."""
        return max(1, len(self._entries))

    def expire(self) -> None:
        """Remove entries that have been silent for too long."""
        now = self._clock.monotonic()
        for node, entry in list(self._entries.items()):
            if now - entry.last_heard > RETENTION_SECONDS:
                del self._entries[node]


def _prefer_connected(beats: list[EntryBeat]) -> list[EntryBeat]:
    """Drop entries that reach no target of a service, if enough are left.

    They have others serve what they get; where most are cut off, these others
    would get all callers besides.
    """
    connected = [beat for beat in beats if not beat.unreachable]
    if len(connected) >= MIN_CONNECTED_SHARE * len(beats):
        return connected
    return beats


def _select(
    beats: list[EntryBeat], zone: str, max_count: int, now: float
) -> list[str]:
    """Select entries of the caller's zone, and some of each other zone.

    Callers of different zones get different slices of each remote zone, so
    that no entry is selected twice before all have been selected once.
    """
    by_zone: dict[str, list[str]] = collections.defaultdict(list)
    for beat in sorted(beats, key=lambda beat: _hash(beat.address)):
        by_zone[beat.zone].append(beat.address)
    zones = sorted(by_zone)
    local = by_zone.pop(zone, [])
    remote_count = len(beats) - len(local)
    count = min(
        len(local), max(int(LOCAL_SHARE * max_count), max_count - remote_count)
    )
    offset = int(now / ROTATION_SECONDS) * max(1, int(ROTATION_SHARE * count))
    chosen = _slice_ring(local, offset if count < len(local) else 0, count)
    zone_rank = zones.index(zone) if zone in zones else len(zones)
    for zones_left, name in zip(range(len(by_zone), 0, -1), sorted(by_zone)):
        # A shortfall of a small zone is made up by the next zones.
        wanted = math.ceil((max_count - len(chosen)) / zones_left)
        chosen += _slice_ring(by_zone[name], zone_rank * wanted, wanted)
    return chosen[:max_count]


def _slice_ring(addresses: list[str], start: int, count: int) -> list[str]:
    """Return up to ``count`` addresses from ``start`` on, with wraparound."""
    start %= max(1, len(addresses))
    ring = addresses[start:] + addresses[:start]
    return ring[:count]


# Sized for the entries of a large fleet.
@functools.lru_cache(maxsize=1 << 12)
def _hash(address: str) -> bytes:
    # Hashing separates neighboring addresses, which often share a rack.
    return hashlib.blake2b(address.encode()).digest()
