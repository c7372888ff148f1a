"""Initialization of a voter's data directory."""

import contextlib
import hashlib

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.settings import VoterSettings
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import Voter
from chivepier.messages import VotersCommand
from chivepier.state import DiskStorage
from chivepier.state import Identity
from chivepier.state import load_identity
from chivepier.state import save_identity
from chivepier.types import Clock

IDENTITY_FILE = "identity"
# Seconds between two attempts to open a directory on a disk that refuses.
RETRY_SECONDS = 0.25


async def open_data_dir(
    settings: VoterSettings, clock: Clock, log: EventLog
) -> tuple[Identity, DiskStorage]:
    """Open the data directory as soon as its disk can be read and written.

    A new directory needs writes; a process that ended at each refused one
    would be started again and again, and counts as one that fails.

    :param settings: settings of this voter
    :param clock: monotonic clock
    :param log: receives the first refusal
    :returns: the identity and the storage of this voter
    :raises PermissionError: if the directory belongs to somebody else
    :raises NotADirectoryError: if there is a file in its place
    """
    is_logged = False
    while True:
        try:
            return await _open_or_found(settings)
        except (PermissionError, NotADirectoryError):
            raise
        except OSError as error:
            if not is_logged:
                log.warn("data_dir_refused", error=repr(error))
                is_logged = True
        await clock.sleep(RETRY_SECONDS)


async def _open_or_found(
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
    with contextlib.ExitStack() as stack:
        # Create the log before the identity: an identity without a log means
        # that the log was lost.
        storage = DiskStorage(settings.folder, used=not is_new)
        stack.callback(storage.close)
        if bootstraps:
            identity = await _found(settings, storage)
        else:
            identity = load_identity(settings.folder)
        stack.pop_all()
        return identity, storage


async def _found(settings: VoterSettings, storage: DiskStorage) -> Identity:
    """Write the first entry of a new cluster, and this voter's identity."""
    voters = [Voter(derive_node_name(a), a) for a in sorted(settings.seeds)]
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
    return identity


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
