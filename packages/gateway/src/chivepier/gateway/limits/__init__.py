"""Rate limits and backoffs that targets request in their answers."""

from chivepier.gateway.limits.backoff import Backoff
from chivepier.gateway.limits.backofftable import BackoffTable
from chivepier.gateway.limits.backofftable import MAX_BACKOFF_SECONDS
from chivepier.gateway.limits.backofftable import MAX_INHERITED_SECONDS
from chivepier.gateway.limits.backofftable import PROBE_SECONDS
from chivepier.gateway.limits.brittletable import BrittleTable
from chivepier.gateway.limits.invalidbackoff import InvalidBackoff
from chivepier.gateway.limits.invalidlimit import InvalidLimit
from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.limittable import LimitTable
from chivepier.gateway.limits.limittable import MAX_UNKNOWN_TARGETS
from chivepier.gateway.limits.nobackoff import NoBackoff
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.records import pack_limits
from chivepier.gateway.limits.records import unpack_limits
from chivepier.gateway.limits.requestedbackoff import RequestedBackoff
from chivepier.gateway.limits.versionedlimit import VersionedLimit

__all__ = [
    "Backoff",
    "BackoffTable",
    "BrittleTable",
    "InvalidBackoff",
    "InvalidLimit",
    "Limit",
    "LimitTable",
    "MAX_BACKOFF_SECONDS",
    "MAX_INHERITED_SECONDS",
    "MAX_UNKNOWN_TARGETS",
    "NoBackoff",
    "NoLimit",
    "PROBE_SECONDS",
    "RateLimit",
    "RequestedBackoff",
    "VersionedLimit",
    "pack_limits",
    "unpack_limits",
]
