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
from chivepier.gateway.limits.restboard import MOST_PASSED_SECONDS
from chivepier.gateway.limits.restboard import MOST_REST_SECONDS
from chivepier.gateway.limits.restboard import RestBoard
from chivepier.gateway.limits.restboard import TRIAL_SECONDS
from chivepier.gateway.limits.unreadlimit import UnreadLimit
from chivepier.gateway.limits.unreadrest import UnreadRest

__all__ = [
    "AskedRest",
    "Limit",
    "LimitBoard",
    "LimitWord",
    "MOST_PASSED_SECONDS",
    "MOST_REST_SECONDS",
    "MOST_UNKNOWN",
    "NoLimit",
    "NoRest",
    "RateLimit",
    "Rest",
    "RestBoard",
    "TRIAL_SECONDS",
    "UnreadLimit",
    "UnreadRest",
    "pack_words",
    "unpack_words",
]
