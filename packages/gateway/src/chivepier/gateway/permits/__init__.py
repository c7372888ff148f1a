"""Permits for sends to cold or rate-limited targets, over all entries."""

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.fairscheduler import FairScheduler
from chivepier.gateway.permits.fairscheduler import MIN_SENDS_PER_SECOND
from chivepier.gateway.permits.fallbacklimiter import FallbackLimiter
from chivepier.gateway.permits.permit import MAX_PERMIT_SECONDS
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.permitclient import PermitClient
from chivepier.gateway.permits.senddecision import SendDecision
from chivepier.gateway.permits.sendlimiter import SendLimiter
from chivepier.gateway.permits.slidingwindowlimiter import CONNECT_SECONDS
from chivepier.gateway.permits.slidingwindowlimiter import MAX_WINDOW_SECONDS
from chivepier.gateway.permits.slidingwindowlimiter import SlidingWindowLimiter
from chivepier.gateway.permits.slidingwindowlimiter import WINDOW_SECONDS

__all__ = [
    "CONNECT_SECONDS",
    "Claim",
    "ColdBound",
    "FairScheduler",
    "FallbackLimiter",
    "MAX_PERMIT_SECONDS",
    "MAX_WINDOW_SECONDS",
    "MIN_SENDS_PER_SECOND",
    "PERMIT_SECONDS",
    "Permit",
    "PermitClient",
    "SendDecision",
    "SendLimiter",
    "SlidingWindowLimiter",
    "WINDOW_SECONDS",
]
