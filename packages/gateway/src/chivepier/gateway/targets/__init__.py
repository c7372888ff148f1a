"""Which targets there are, and which of them a request goes to."""

from chivepier.gateway.targets.chooser import Chooser
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.demand import SOON_TOKENS
from chivepier.gateway.targets.leavers import Leavers
from chivepier.gateway.targets.liveness import Liveness
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadboard import EXPIRY
from chivepier.gateway.targets.loadboard import LoadBoard
from chivepier.gateway.targets.queueboard import QueueBoard
from chivepier.gateway.targets.readingpace import ReadingPace
from chivepier.gateway.targets.steppace import StepPace
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targetstate import TargetState
from chivepier.gateway.targets.targettable import TargetTable

__all__ = [
    "Chooser",
    "Demand",
    "EXPIRY",
    "Leavers",
    "Liveness",
    "Load",
    "LoadBoard",
    "QueueBoard",
    "SOON_TOKENS",
    "ReadingPace",
    "StepPace",
    "Target",
    "TargetHealth",
    "TargetState",
    "TargetTable",
]
