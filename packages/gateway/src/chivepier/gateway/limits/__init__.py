"""Limits that targets in need name in their answers."""

from chivepier.gateway.limits.limit import Limit
from chivepier.gateway.limits.limit import NoLimit
from chivepier.gateway.limits.limit import RateLimit
from chivepier.gateway.limits.limit import UnreadLimit

__all__ = [
    "Limit",
    "NoLimit",
    "RateLimit",
    "UnreadLimit",
]
