"""What a data folder holds before its first start is over."""

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
    """Open the data folder, and found the cluster where that is due.

    Every seed of the first start writes the same first entry, so that none
    needs to hear the others. The flag is only obeyed by an empty folder: at
    any later start there is an identity. A disk that was lost comes back
    without the flag, gets a new identity, and has no vote.

    :param settings: this voter's
    :returns: its identity, and its storage
    """
    is_new = not (settings.folder / IDENTITY_FILE).exists()
    bootstraps = (
        is_new and settings.found and settings.address in settings.seeds
    )
    if not bootstraps:
        # the log is made before the identity, which says that it was there
        storage = DiskStorage(settings.folder, used=not is_new)
        return load_identity(settings.folder), storage
    voters = [Voter(derive_node_name(a), a) for a in sorted(settings.seeds)]
    storage = DiskStorage(settings.folder)
    if not storage.entries:
        # a crash may have come between this entry and the identity
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
    """Name a founding voter.

    >>> derive_node_name("10.0.0.1:7200") == derive_node_name("10.0.0.1:7200")
    True

    :param address: its peer address
    :returns: the same name on every node
    """
    return "f" + hashlib.sha256(address.encode()).hexdigest()[:8]


def derive_cluster_id(seeds: tuple[str, ...]) -> str:
    """Name a cluster after its founders.

    :param seeds: their peer addresses
    :returns: the same name on every node
    """
    text = ",".join(sorted(seeds))
    return hashlib.sha256(text.encode()).hexdigest()[:16]
