"""What targets say of themselves in their answers."""

from chivepier.gateway.limits.askedrest import AskedRest
from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.limitboard import LimitBoard
from chivepier.gateway.limits.limitboard import MOST_UNKNOWN
from chivepier.gateway.limits.limitword import LimitWord
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.norest import NoRest
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.records import pack_words
from chivepier.gateway.limits.records import unpack_words
from chivepier.gateway.limits.rest import Rest
from chivepier.gateway.limits.unreadlimit import UnreadLimit
from chivepier.gateway.limits.unreadrest import UnreadRest

__all__ = [
    "AskedRest",
    "Limit",
    "LimitBoard",
    "LimitWord",
    "MOST_UNKNOWN",
    "NoLimit",
    "NoRest",
    "RateLimit",
    "Rest",
    "UnreadLimit",
    "UnreadRest",
    "pack_words",
    "unpack_words",
]
