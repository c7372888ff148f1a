"""The rate limit that an answer states, if any."""

from chivepier.gateway.limits.invalidlimit import InvalidLimit
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit

Limit = NoLimit | RateLimit | InvalidLimit
