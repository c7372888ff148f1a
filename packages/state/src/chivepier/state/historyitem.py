"""One past change of a document."""

import attrs


@attrs.frozen
class HistoryItem:
    """What an operator changed; ``spec`` is ``None`` for a removal."""

    index: int
    change_id: str
    operator: str
    kind: str
    name: str
    version: int
    spec: bytes | None
