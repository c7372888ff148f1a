"""Limits that targets in need name in their answers."""

from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.limit import NoLimit
from chivepier.gateway.limits.limit import RateLimit
from chivepier.gateway.limits.limit import UnreadLimit
from chivepier.gateway.limits.limitboard import LimitBoard
from chivepier.gateway.limits.limitboard import MOST_UNKNOWN
from chivepier.gateway.limits.limitword import LimitWord
from chivepier.gateway.limits.records import pack_words
from chivepier.gateway.limits.records import unpack_words

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
