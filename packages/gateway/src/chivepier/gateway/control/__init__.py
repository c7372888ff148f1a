"""Voters, what they keep, and how entries follow them."""

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.control.following import Decode
from chivepier.gateway.control.following import Following
from chivepier.gateway.control.peers import Peers
from chivepier.gateway.control.registry import Registry
from chivepier.gateway.control.seats import Seats
from chivepier.gateway.control.voter import Voter
from chivepier.gateway.control.votersettings import VoterSettings

__all__ = [
    "ConfigStore",
    "Decode",
    "EntryDirectory",
    "Following",
    "Peers",
    "Registry",
    "Seats",
    "Voter",
    "VoterSettings",
]
