"""The entries to which requests can be forwarded."""

import collections.abc
import math
import random

from chivepier.gateway.messages import PeerRecord
from chivepier.types import Clock

# Seconds in which a peer that refused a request, or was lost, is not chosen.
AVOID_SECONDS = 1.0


class PeerList:
    """Chooses among the entries that the voters named.

    :param own_address: address at which others reach this entry; empty if
        they can't
    :param zone: availability zone of this entry
    :param regions: regions of the availability zones, by zone name
    :param clock: source of monotonic time
    :param rng: draws among peers by their weights
    """

    def __init__(
        self,
        own_address: str,
        zone: str,
        regions: collections.abc.Mapping[str, str],
        clock: Clock,
        rng: random.Random,
    ):
        self.own_address = own_address
        self._zone = zone
        self._regions = regions
        self._clock = clock
        self._rng = rng
        self._peers: tuple[PeerRecord, ...] = ()
        self._avoided_until: dict[str, float] = {}

    def replace(self, records: tuple[PeerRecord, ...]) -> None:
        """Replace all known peers by those that a voter named."""
        self._peers = records
        named = {record.address for record in records}
        for address in self._avoided_until.keys() - named:
            del self._avoided_until[address]

    def avoid(self, address: str) -> None:
        """Don't choose a peer for a moment."""
        until = self._clock.monotonic() + AVOID_SECONDS
        self._avoided_until[address] = until

    def choose(
        self,
        service: str,
        regions: frozenset[str] | None,
        without: collections.abc.Collection[str] = (),
    ) -> PeerRecord | None:
        """Choose a peer for a request, in the own availability zone first.

        :param service: name of the service, which the peer reaches itself
        :param regions: regions that the request may reach besides this
            entry's; ``None`` if it is not restricted
        :param without: addresses that must not be chosen
        :returns: the peer; ``None`` if there is none
        """
        now = self._clock.monotonic()
        found = [
            peer
            for peer in self._peers
            if service not in peer.unreachable
            and peer.address not in without
            and now >= self._avoided_until.get(peer.address, -math.inf)
            and self._is_allowed(peer, regions)
        ]
        local = [peer for peer in found if peer.zone == self._zone]
        candidates = local or found
        if not candidates:
            return None
        weights = [max(1, peer.weight) for peer in candidates]
        return self._rng.choices(candidates, weights)[0]

    def _is_allowed(
        self, peer: PeerRecord, regions: frozenset[str] | None
    ) -> bool:
        region = self._regions.get(peer.zone)
        if regions is None or region == self._regions.get(self._zone):
            return True
        return region in regions
