"""Voters, what they keep, and how entries follow them."""

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.control.operatorapi import give_order
from chivepier.gateway.control.operatorapi import OperatorApi
from chivepier.gateway.control.registry import Registry
from chivepier.gateway.control.seats import Seats
from chivepier.gateway.control.voter import Voter

__all__ = [
    "ConfigStore",
    "EntryDirectory",
    "OperatorApi",
    "Registry",
    "Seats",
    "Voter",
    "give_order",
]
