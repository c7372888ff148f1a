"""Initialization of a voter's data directory."""

import hashlib

from chivepier.gateway.settings import VoterSettings
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state import DiskStorage
from chivepier.state import Identity
from chivepier.state import load_identity
from chivepier.state import save_identity

IDENTITY_FILE = "identity"


async def open_data_dir(
    settings: VoterSettings,
) -> tuple[Identity, DiskStorage]:
    """Open the data directory, bootstrapping a new cluster if requested.

    Every seed writes the same first log entry, so that seeds need not
    communicate. The ``found`` flag applies only to a directory without an
    identity. A voter that lost its disk is restarted without the flag: it
    gets a new identity and has no vote.

    :param settings: settings of this voter
    :returns: the identity and the storage of this voter
    """
    is_new = not (settings.folder / IDENTITY_FILE).exists()
    bootstraps = (
        is_new and settings.found and settings.address in settings.seeds
    )
    if not bootstraps:
        # Create the log before the identity: an identity without a log means
        # that the log was lost.
        storage = DiskStorage(settings.folder, used=not is_new)
        return load_identity(settings.folder), storage
    voters = [Voter(derive_node_name(a), a) for a in sorted(settings.seeds)]
    storage = DiskStorage(settings.folder)
    if not storage.entries:
        # The entry exists if an earlier start crashed before saving the
        # identity.
        command = encode(VotersCommand(tuple(voters)))
        storage.append((Entry(1, 1, command),))
        await storage.sync()
        await storage.save_vote(1, "")
    identity = Identity(
        derive_node_name(settings.address), derive_cluster_id(settings.seeds)
    )
    save_identity(settings.folder, identity)
    return identity, storage


def derive_node_name(address: str) -> str:
    """Derive the node name of a seed from its address.

    >>> derive_node_name("10.0.0.1:7200") == derive_node_name("10.0.0.1:7200")
    True

    :param address: peer address of the seed
    :returns: the name, the same on every node
    """
    return "f" + hashlib.sha256(address.encode()).hexdigest()[:8]


def derive_cluster_id(seeds: tuple[str, ...]) -> str:
    """Derive a cluster identifier from its seeds.

    :param seeds: peer addresses of the seeds
    :returns: the identifier, the same on every node
    """
    text = ",".join(sorted(seeds))
    return hashlib.sha256(text.encode()).hexdigest()[:16]
