"""Synchronization of entries with the voters."""

from chivepier.gateway.following.configfetcher import ConfigFetcher
from chivepier.gateway.following.configfetcher import Decode
from chivepier.gateway.following.currency import Currency
from chivepier.gateway.following.limitexchange import LimitExchange
from chivepier.gateway.following.loadexchange import LoadExchange
from chivepier.gateway.following.originexchange import OriginExchange
from chivepier.gateway.following.peers import Peers
from chivepier.gateway.following.quarantineexchange import QuarantineExchange
from chivepier.gateway.following.records import pack_past_version
from chivepier.gateway.following.records import pack_target
from chivepier.gateway.following.records import unpack_past_version
from chivepier.gateway.following.records import unpack_target
from chivepier.gateway.following.reportexchange import ReportExchange
from chivepier.gateway.following.voterclient import VoterClient

__all__ = [
    "ConfigFetcher",
    "Currency",
    "Decode",
    "VoterClient",
    "LimitExchange",
    "LoadExchange",
    "OriginExchange",
    "Peers",
    "QuarantineExchange",
    "ReportExchange",
    "pack_past_version",
    "pack_target",
    "unpack_past_version",
    "unpack_target",
]
