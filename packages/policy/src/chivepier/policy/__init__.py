"""Decisions under load: admission, sharing, lengths and placement."""

from chivepier.policy.ask import Ask
from chivepier.policy.decisions import Decision
from chivepier.policy.grant import Grant
from chivepier.policy.held import Held
from chivepier.policy.leastinflight import LeastInflight
from chivepier.policy.leastinflight import serves
from chivepier.policy.policy import Policy
from chivepier.policy.refusal import Refusal
from chivepier.policy.stop import Stop
from chivepier.policy.targetview import TargetView

__all__ = [
    "Ask",
    "Decision",
    "Grant",
    "Held",
    "LeastInflight",
    "Policy",
    "Refusal",
    "Stop",
    "TargetView",
    "serves",
]
