"""Limits that targets in need name in their answers."""

from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.limitboard import LimitBoard
from chivepier.gateway.limits.limitboard import MOST_UNKNOWN
from chivepier.gateway.limits.limitword import LimitWord
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.records import pack_words
from chivepier.gateway.limits.records import unpack_words
from chivepier.gateway.limits.unreadlimit import UnreadLimit

__all__ = [
    "Limit",
    "LimitBoard",
    "LimitWord",
    "MOST_UNKNOWN",
    "NoLimit",
    "RateLimit",
    "UnreadLimit",
    "pack_words",
    "unpack_words",
]
