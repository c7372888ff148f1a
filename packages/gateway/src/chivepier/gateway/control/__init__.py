"""Control plane: replicated state of the voters, served to entries."""

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.control.membership import Membership
from chivepier.gateway.control.operatorapi import OperatorApi
from chivepier.gateway.control.operatorapi import submit_order
from chivepier.gateway.control.registry import Registry
from chivepier.gateway.control.voter import Voter

__all__ = [
    "ConfigStore",
    "EntryDirectory",
    "OperatorApi",
    "Registry",
    "Membership",
    "Voter",
    "submit_order",
]
