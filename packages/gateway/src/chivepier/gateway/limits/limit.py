"""What one answer says of the rate that its target takes."""

from chivepier.gateway.limits.nolimit import NoLimit
from chivepier.gateway.limits.ratelimit import RateLimit
from chivepier.gateway.limits.unreadlimit import UnreadLimit

Limit = NoLimit | RateLimit | UnreadLimit
