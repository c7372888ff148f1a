"""Whether this entry reaches the targets of a service."""

from chivepier.gateway.reach.reach import Reach
from chivepier.gateway.reach.reachprober import ReachProber
from chivepier.gateway.reach.reachstate import ReachState

__all__ = [
    "Reach",
    "ReachProber",
    "ReachState",
]
