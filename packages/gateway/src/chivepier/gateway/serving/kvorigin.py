"""Where to fetch the KV cache of a generation from."""

import attrs


@attrs.frozen
class KvOrigin:
    """A copy of the KV cache of a generation.

    :param address: address of the target that issued the handle
    :param handle: identifier of the copy at that target
    """

    address: str
    handle: str
