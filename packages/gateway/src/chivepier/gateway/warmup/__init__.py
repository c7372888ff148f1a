"""Bounds on what cold targets are sent, over all entries."""

from chivepier.gateway.warmup.coldbound import ColdBound
from chivepier.gateway.warmup.permit import Permit
from chivepier.gateway.warmup.permit import PERMIT_SECONDS
from chivepier.gateway.warmup.permitledger import CONNECT_SECONDS
from chivepier.gateway.warmup.permitledger import PermitLedger
from chivepier.gateway.warmup.permitledger import WINDOW_SECONDS
from chivepier.gateway.warmup.permits import Permits

__all__ = [
    "CONNECT_SECONDS",
    "ColdBound",
    "PERMIT_SECONDS",
    "Permit",
    "PermitLedger",
    "Permits",
    "WINDOW_SECONDS",
]
