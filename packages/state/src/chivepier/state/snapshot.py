"""A snapshot of the state."""

import attrs


@attrs.frozen
class Snapshot:
    """The packed state after the entry ``index`` of ``term``."""

    index: int = 0
    term: int = 0
    data: bytes = b""
