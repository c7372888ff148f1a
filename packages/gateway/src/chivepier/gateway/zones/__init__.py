"""Availability zones: their regions and evacuation orders."""

from chivepier.gateway.zones.freshness import Freshness
from chivepier.gateway.zones.records import pack_order
from chivepier.gateway.zones.records import unpack_order
from chivepier.gateway.zones.zoneorder import ZoneOrder
from chivepier.gateway.zones.zones import PRESUMPTION_TTL_SECONDS
from chivepier.gateway.zones.zones import Zones

__all__ = [
    "Freshness",
    "PRESUMPTION_TTL_SECONDS",
    "ZoneOrder",
    "Zones",
    "pack_order",
    "unpack_order",
]
