"""Founding a cluster."""

import asyncio
import hashlib

from chivepier.messages import BootstrapRequest
from chivepier.messages import IdentityRequest
from chivepier.messages import Voter
from chivepier.node.cluster import Cluster
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.wire import LinkError

ASK_SECONDS = 3.0
NAME_LENGTH = 16


async def found_cluster(
    cluster: Cluster, peers: list[str]
) -> tuple[Voter, ...]:
    """Make the instances at these peer addresses the first voters.

    It is an operator's order, never an instance's own idea: an empty folder
    may be a lost one, and a voter that founded a second cluster by itself
    would serve from an empty configuration.

    :param cluster: this node's view
    :param peers: peer addresses of instances with new data folders
    :returns: the voters
    :raises RequestError: when one is not new, has no disk, or is silent
    """
    identities = await asyncio.gather(
        *(_ask(cluster, peer, IdentityRequest()) for peer in peers)
    )
    voters = [Voter(i.node, peer) for peer, i in zip(peers, identities)]
    if len({voter.node for voter in voters}) < len(voters):
        raise _refuse("one instance is named twice")
    name = name_cluster(voters)
    for peer, identity in zip(peers, identities):
        if not identity.disk:
            raise _refuse(f"{peer} has no data folder")
        if identity.cluster not in ("", name):
            raise _refuse(f"{peer} belongs to a cluster already")
    request = BootstrapRequest(name, tuple(voters))
    for peer in peers:
        answer = await _ask(cluster, peer, request)
        if not answer.accepted:
            raise _refuse(f"{peer}: {answer.message}")
    return tuple(voters)


def name_cluster(voters: list[Voter]) -> str:
    """Name a cluster after its first voters.

    Drawn at random, the name would differ when an operator repeats an order
    that reached some of the instances, and these would refuse it for ever.

    :param voters: identity and address of each
    :returns: the cluster's name
    """
    nodes = ",".join(sorted(voter.node for voter in voters))
    return hashlib.sha256(nodes.encode()).hexdigest()[:NAME_LENGTH]


async def _ask(cluster: Cluster, peer: str, message):
    try:
        return await cluster.links.request(peer, message, ASK_SECONDS)
    except LinkError as error:
        raise RequestError.of(ErrorKind.NOT_READY, str(error)) from None


def _refuse(text: str) -> RequestError:
    return RequestError.of(ErrorKind.VERSION_CONFLICT, text)
