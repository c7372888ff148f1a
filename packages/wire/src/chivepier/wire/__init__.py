"""Links between processes: typed messages as CBOR over websockets."""

from chivepier.wire.channel import Channel
from chivepier.wire.channel import Handler
from chivepier.wire.channel import prepare
from chivepier.wire.faults import Faults
from chivepier.wire.linkerror import LinkError
from chivepier.wire.links import Links
from chivepier.wire.refusederror import RefusedError
from chivepier.wire.server import PeerServer
from chivepier.wire.traffic import Traffic

__all__ = [
    "Channel",
    "Faults",
    "Handler",
    "LinkError",
    "Links",
    "PeerServer",
    "RefusedError",
    "Traffic",
    "prepare",
]
