"""Decisions under load: admission, sharing, lengths and placement."""

from chivepier.policy.ask import Ask
from chivepier.policy.decisions import Decision
from chivepier.policy.grant import Grant
from chivepier.policy.held import Held
from chivepier.policy.leastinflight import LeastInflight
from chivepier.policy.leastinflight import serves
from chivepier.policy.lengthestimator import LengthEstimator
from chivepier.policy.lengthprofile import LengthProfile
from chivepier.policy.lengths import Lengths
from chivepier.policy.limits import Limits
from chivepier.policy.policy import Policy
from chivepier.policy.refusal import Refusal
from chivepier.policy.sharedpolicy import SharedPolicy
from chivepier.policy.stop import Stop
from chivepier.policy.targetview import TargetView

__all__ = [
    "Ask",
    "Decision",
    "Grant",
    "Held",
    "LeastInflight",
    "LengthEstimator",
    "LengthProfile",
    "Lengths",
    "Limits",
    "Policy",
    "Refusal",
    "SharedPolicy",
    "Stop",
    "TargetView",
    "serves",
]
