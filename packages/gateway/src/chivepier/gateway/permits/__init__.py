"""Bounds on what cold targets are sent, over all entries."""

from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.permitledger import CONNECT_SECONDS
from chivepier.gateway.permits.permitledger import PermitLedger
from chivepier.gateway.permits.permitledger import WINDOW_SECONDS
from chivepier.gateway.permits.permits import Permits

__all__ = [
    "CONNECT_SECONDS",
    "ColdBound",
    "PERMIT_SECONDS",
    "Permit",
    "PermitLedger",
    "Permits",
    "WINDOW_SECONDS",
]
