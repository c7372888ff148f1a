"""The availability zones that one node knows."""

import collections.abc

from chivepier.gateway.zones.zoneorder import ZoneOrder

# Time for which an entry applies an evacuation that a voter presumes; each
# heartbeat renews it.
PRESUMPTION_TTL_SECONDS = 3.0

Watcher = collections.abc.Callable[[ZoneOrder], None]


class Zones:
    """Regions of the zones and their evacuation state.

    Orders arrive from several voters, possibly late or repeatedly. The one
    with the highest log index wins, so an older one never undoes a newer one.

    >>> zones = Zones({"a1": "north"})
    >>> zones.put(ZoneOrder("a1", 7, True, 0.0))
    True
    >>> zones.put(ZoneOrder("a1", 5, False, 1.0))
    False
    >>> zones.is_evacuated("a1")
    True

    :ivar watchers: called with each new order

    :param regions: region of each zone, from the settings
    """

    def __init__(
        self, regions: collections.abc.Mapping[str, str] | None = None
    ):
        self._regions = dict(regions or {})
        self._orders: dict[str, ZoneOrder] = {}
        self._presumed: dict[str, float] = {}
        self.watchers: list[Watcher] = []

    @property
    def orders(self) -> tuple[ZoneOrder, ...]:
        """The last order of each zone that has had one."""
        return tuple(self._orders.values())

    @property
    def last_index(self) -> int:
        """The highest log index of all orders; -1 if there are none."""
        return max((o.index for o in self._orders.values()), default=-1)

    def has_zone(self, zone: str) -> bool:
        """Tell whether the settings name a zone."""
        return zone in self._regions

    def find_region(self, zone: str) -> str | None:
        """Return the region of a zone; ``None`` if the settings have none."""
        return self._regions.get(zone)

    def put(self, order: ZoneOrder) -> bool:
        """Merge a committed order.

        :param order: the order
        :returns: whether it was newer than the known one
        """
        known = self._orders.get(order.zone)
        if known is not None and known.index >= order.index:
            return False
        self._orders[order.zone] = order
        if not order.evacuated:
            self._presumed.pop(order.zone, None)
        for watcher in self.watchers:
            watcher(order)
        return True

    def presume(self, zone: str, until: float) -> None:
        """Treat a zone as evacuated while its order may have been committed.

        :param zone: name of the zone
        :param until: end of the presumption, in monotonic seconds
        """
        self._presumed[zone] = until

    def withdraw(self, zone: str) -> None:
        """Withdraw the presumed evacuation of a zone."""
        self._presumed.pop(zone, None)

    def find_order(self, zone: str) -> ZoneOrder | None:
        """Return the last order about a zone, or ``None``."""
        return self._orders.get(zone)

    def is_evacuated(self, zone: str, now: float = 0.0) -> bool:
        """Tell whether new requests to a zone's targets are forbidden.

        :param zone: name of the zone
        :param now: current time in monotonic seconds
        """
        order = self._orders.get(zone)
        if order is not None and order.evacuated:
            return True
        return now < self._presumed.get(zone, float("-inf"))

    def is_allowed(
        self,
        zone: str,
        regions: collections.abc.Collection[str] | None,
        now: float,
    ) -> bool:
        """Tell whether new requests may be sent to a zone's targets.

        A zone of unknown region is in none of the allowed regions.

        :param zone: name of the zone
        :param regions: regions allowed for the request; ``None`` for all
        :param now: current time in monotonic seconds
        """
        if self.is_evacuated(zone, now):
            return False
        return regions is None or self.find_region(zone) in regions

    def find_readmission(self, zone: str) -> float | None:
        """Return when a zone was last readmitted, in monotonic seconds.

        :param zone: name of the zone
        :returns: ``None`` if it is evacuated or never was
        """
        order = self._orders.get(zone)
        if order is None or order.evacuated:
            return None
        return order.since
