"""Requests that an entry has another one serve, over a link between them."""

from chivepier.gateway.forwarding.forwardclient import ForwardClient
from chivepier.gateway.forwarding.forwardserver import ForwardServer
from chivepier.gateway.forwarding.peerlist import PeerList

__all__ = [
    "ForwardClient",
    "ForwardServer",
    "PeerList",
]
