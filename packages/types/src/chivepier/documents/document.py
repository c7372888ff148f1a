"""A stored document and its version."""

import attrs


@attrs.frozen(kw_only=True)
class Document:
    """One configuration object: ``kind`` is ``template`` or ``team``.

    ``spec`` stays packed (CBOR) and is decoded on use, so that 49,000 teams
    fit a node's memory bound.  ``version`` is the log index that wrote it.
    """

    kind: str
    name: str
    version: int
    spec: bytes
