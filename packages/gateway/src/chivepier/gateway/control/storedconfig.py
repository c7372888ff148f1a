"""A configuration as it was sent."""

import attrs


@attrs.frozen
class StoredConfig:
    """A configuration as it was sent.

    :param version: the operator's
    :param body: byte for byte
    """

    version: int
    body: bytes
