"""What one answer says of the rate that its target takes."""

from chivepier.gateway.limits.invalidlimit import InvalidLimit
from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit

Limit = NoLimit | RateLimit | InvalidLimit
