"""The availability zones, as one node knows them."""

import collections.abc

from chivepier.gateway.zones.zoneorder import ZoneOrder

# Seconds for which a voter's presumption of an order counts at an entry; it is
# said again with each beat.
PRESUMPTION_TTL_SECONDS = 3.0

Watcher = collections.abc.Callable[[ZoneOrder], None]


class Zones:
    """Regions of the zones, and which of the zones are evacuated.

    Orders come from several voters, late and twice: that of the highest log
    index counts, so that an older one never undoes a newer one.

    >>> zones = Zones({"a1": "north"})
    >>> zones.put(ZoneOrder("a1", 7, True, 0.0))
    True
    >>> zones.put(ZoneOrder("a1", 5, False, 1.0))
    False
    >>> zones.is_evacuated("a1")
    True

    :ivar watchers: are told of each order that is news

    :param regions: by zone, from the settings
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
        """The last order about each zone that ever had one."""
        return tuple(self._orders.values())

    @property
    def last_index(self) -> int:
        """The highest log index of an order; -1 without any."""
        return max((o.index for o in self._orders.values()), default=-1)

    def has_zone(self, zone: str) -> bool:
        """Tell whether the settings name a zone."""
        return zone in self._regions

    def find_region(self, zone: str) -> str | None:
        """Return a zone's region; ``None`` where the settings name none."""
        return self._regions.get(zone)

    def put(self, order: ZoneOrder) -> bool:
        """Take an order that was committed.

        :param order: the order
        :returns: whether it was news
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
        """Keep to an order that may have been committed.

        :param zone: that may be evacuated
        :param until: when this no longer counts, in monotonic seconds
        """
        self._presumed[zone] = until

    def withdraw(self, zone: str) -> None:
        """Drop what was presumed of a zone."""
        self._presumed.pop(zone, None)

    def find_order(self, zone: str) -> ZoneOrder | None:
        """Return the last order about a zone, if there was one."""
        return self._orders.get(zone)

    def is_evacuated(self, zone: str, now: float = 0.0) -> bool:
        """Tell whether nothing new may be sent to a zone's targets.

        :param zone: its name
        :param now: monotonic seconds
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
        """Tell whether something new may be sent to a zone's targets.

        A zone whose region isn't known lies in none that is allowed.

        :param zone: its name
        :param regions: that the request may reach; ``None`` for all
        :param now: monotonic seconds
        """
        if self.is_evacuated(zone, now):
            return False
        return regions is None or self.find_region(zone) in regions

    def find_readmission(self, zone: str) -> float | None:
        """Return when a zone was last taken back, in monotonic seconds.

        :param zone: its name
        :returns: ``None`` where it is evacuated, or never was
        """
        order = self._orders.get(zone)
        if order is None or order.evacuated:
            return None
        return order.since
