"""A voter's identity."""

import pathlib
import secrets

import attrs
import cbor2

from chivepier.state.damagederror import DamagedError
from chivepier.state.files import write_synced
from chivepier.state.records import pack_record
from chivepier.state.records import read_records

IDENTITY_FILE = "identity"


@attrs.frozen
class Identity:
    """Made with the data folder; a folder that was lost gets a new one.

    A voter that forgot its log but kept its name could vote twice in a term
    or outvote committed entries.  As the name is drawn when the folder is
    made, an empty folder is never taken for the old voter.
    """

    node: str
    cluster: str = ""


def load_identity(folder: pathlib.Path) -> Identity:
    """Load the folder's identity, or draw one for a new folder.

    :param folder: the data folder
    :returns: the identity, synced
    :raises DamagedError: when the identity file can't be read
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        folder.mkdir(parents=True, exist_ok=True)
        identity = Identity(secrets.token_hex(4))
        save_identity(folder, identity)
        return identity
    payloads, _ = read_records(path.read_bytes(), IDENTITY_FILE)
    if not payloads:
        raise DamagedError("identity: no intact record")
    node, cluster = cbor2.loads(payloads[0])
    return Identity(node, cluster)


def save_identity(folder: pathlib.Path, identity: Identity) -> None:
    """Keep an identity, synced.

    :param folder: the data folder
    :param identity: what to keep
    """
    fields = (identity.node, identity.cluster)
    write_synced(folder, IDENTITY_FILE, pack_record(cbor2.dumps(fields)))
