"""Where a generation's memory is to be taken from."""

import attrs


@attrs.frozen
class KvOrigin:
    """A copy of a live generation's memory.

    :param address: of the target that names the copy
    :param handle: what it calls the copy
    """

    address: str
    handle: str
