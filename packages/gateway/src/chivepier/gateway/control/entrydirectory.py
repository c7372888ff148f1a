"""Which entries callers may use."""

import collections
import collections.abc
import functools
import hashlib
import math

from chivepier.gateway.control.knownentry import KnownEntry
from chivepier.gateway.messages import EntryBeat
from chivepier.types import Clock
from chivepier.wire import Channel

# Seconds after its last word for which an entry counts as alive: a few missed
# beats.
LIVENESS_TIMEOUT_SECONDS = 1.2
# Seconds after which an entry is forgotten, and its share of common budgets
# goes to the others.
RETENTION_SECONDS = 20.0
# Seconds after its start in which a voter gives no addresses: entries come
# back one after the other, and the first would get every caller.
STARTUP_DELAY_SECONDS = 0.35
# Share of one answer's addresses in the caller's own availability zone; the
# rest serves its callers while that zone is lost.
LOCAL_SHARE = 0.75
# Seconds after which the next of many entries are named. Callers close what is
# no longer named, so only a part of an answer changes.
ROTATION_SECONDS = 10.0
ROTATION_SHARE = 0.25


class EntryDirectory:
    """The entries that speak to this voter.

    :param clock: monotonic time
    :param regions: of the availability zones, by their names
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
        """Take an entry's word.

        :param beat: what it says of itself
        :param channel: where it is reached
        :returns: whether it is one that was not known
        """
        known = self._entries.get(beat.node)
        now = self._clock.monotonic()
        self._entries[beat.node] = KnownEntry(beat, channel, now)
        return known is None

    def list_addresses(
        self,
        zone: str = "",
        max_count: int | None = None,
        region: str = "",
        allowed: frozenset[str] | None = None,
    ) -> list[str]:
        """Return where callers of an availability zone may connect.

        All voters name the same ones to a zone, and the same ones again: a
        caller closes its connections to what is no longer named. In the order
        in which they first spoke, the last entries would get no caller.

        When no entry is heard, those heard last are better than none: it
        may be this voter that is cut off.

        :param zone: the caller's
        :param most: addresses that a caller takes; all by default
        :param region: the caller's
        :param allowed: regions that may see its requests, besides its own;
            ``None`` for all
        :returns: addresses; empty while this voter is still learning
        """
        now = self._clock.monotonic()
        if now - self._started < STARTUP_DELAY_SECONDS:
            return []
        ready = [e for e in self._entries.values() if e.beat.ready]
        alive = [
            e for e in ready if now - e.last_heard < LIVENESS_TIMEOUT_SECONDS
        ]
        beats = [entry.beat for entry in alive or ready]
        beats = self._filter_by_region(beats, region, allowed)
        if max_count is None or len(beats) <= max_count:
            return [beat.address for beat in beats]
        return _select(beats, zone, max_count, now)

    def _filter_by_region(
        self,
        beats: list[EntryBeat],
        region: str,
        allowed: frozenset[str] | None,
    ) -> list[EntryBeat]:
        """Leave out entries that must not see a caller's requests.

        Where none is left, any entry is better than none: it refuses what
        no target may serve, and a caller without addresses is told nothing.
        """
        if allowed is None:
            return beats
        permitted = allowed | {region}
        filtered = [b for b in beats if self._regions.get(b.zone) in permitted]
        return filtered or beats

    def list_channels(self, exclude: str = "") -> list[Channel]:
        """Return the links to entries, for what they are told at once.

        :param without: an entry that knows already
        """
        return [
            entry.channel
            for node, entry in self._entries.items()
            if node != exclude and not entry.channel.closed
        ]

    def list_beats(self) -> list[EntryBeat]:
        """Return the last word of each entry that is known."""
        return [entry.beat for entry in self._entries.values()]

    def count(self) -> int:
        """Return how many entries there are; one at least."""
        return max(1, len(self._entries))

    def expire(self) -> None:
        """Drop entries that have long been silent."""
        now = self._clock.monotonic()
        for node, entry in list(self._entries.items()):
            if now - entry.last_heard > RETENTION_SECONDS:
                del self._entries[node]


def _select(
    beats: list[EntryBeat], zone: str, max_count: int, now: float
) -> list[str]:
    """Name entries near a caller, and some of each other zone.

    Each zone's callers are given another part of the others' entries, in a
    row, so that none of these is given to several zones before all are given
    to one.
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
        # what a small zone can't give, the next ones do
        wanted = math.ceil((max_count - len(chosen)) / zones_left)
        chosen += _slice_ring(by_zone[name], zone_rank * wanted, wanted)
    return chosen[:max_count]


def _slice_ring(addresses: list[str], start: int, count: int) -> list[str]:
    """Return so many in a row, from one on and round the end."""
    start %= max(1, len(addresses))
    ring = addresses[start:] + addresses[:start]
    return ring[:count]


# the entries of a large fleet
@functools.lru_cache(maxsize=1 << 12)
def _hash(address: str) -> bytes:
    # neighbours by address often share a rack
    return hashlib.blake2b(address.encode()).digest()
