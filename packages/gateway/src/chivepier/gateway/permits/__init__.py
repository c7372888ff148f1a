"""Leave to send to targets that take few, over all entries."""

from chivepier.gateway.permits.claim import Claim
from chivepier.gateway.permits.coldbound import ColdBound
from chivepier.gateway.permits.leader import Leader
from chivepier.gateway.permits.ownpart import OwnPart
from chivepier.gateway.permits.permit import MOST_PERMIT_SECONDS
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.permitledger import CONNECT_SECONDS
from chivepier.gateway.permits.permitledger import MOST_WINDOW_SECONDS
from chivepier.gateway.permits.permitledger import PermitLedger
from chivepier.gateway.permits.permitledger import WINDOW_SECONDS
from chivepier.gateway.permits.permits import Permits
from chivepier.gateway.permits.turn import Turn
from chivepier.gateway.permits.turns import LEAST_RATE
from chivepier.gateway.permits.turns import Turns

__all__ = [
    "CONNECT_SECONDS",
    "Claim",
    "ColdBound",
    "LEAST_RATE",
    "Leader",
    "MOST_PERMIT_SECONDS",
    "MOST_WINDOW_SECONDS",
    "OwnPart",
    "PERMIT_SECONDS",
    "Permit",
    "PermitLedger",
    "Permits",
    "Turn",
    "Turns",
    "WINDOW_SECONDS",
]
