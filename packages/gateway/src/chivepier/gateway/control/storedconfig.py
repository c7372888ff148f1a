"""A configuration document and its version."""

import attrs


@attrs.frozen
class StoredConfig:
    """A configuration as received from the operator.

    :param version: version number set by the operator
    :param body: the unmodified bytes of the configuration
    """

    version: int
    body: bytes
