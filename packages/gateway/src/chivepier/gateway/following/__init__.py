"""What entries and voters both need to know each other."""

from chivepier.gateway.following.configfetch import ConfigFetch
from chivepier.gateway.following.configfetch import Decode
from chivepier.gateway.following.following import Following
from chivepier.gateway.following.limitexchange import LimitExchange
from chivepier.gateway.following.loadexchange import LoadExchange
from chivepier.gateway.following.peers import Peers
from chivepier.gateway.following.quarantineexchange import QuarantineExchange
from chivepier.gateway.following.records import pack_target
from chivepier.gateway.following.records import unpack_target

__all__ = [
    "ConfigFetch",
    "Decode",
    "Following",
    "LimitExchange",
    "LoadExchange",
    "Peers",
    "QuarantineExchange",
    "pack_target",
    "unpack_target",
]
