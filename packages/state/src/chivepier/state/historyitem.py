"""One past change of a document."""

import attrs


@attrs.frozen
class HistoryItem:
    """What an operator changed, without the contents.

    A content can be a whole configuration; a few hundred of those, each
    snapshot with all of them, take a voter over its memory at every start.
    """

    index: int
    change_id: str
    operator: str
    kind: str
    name: str
    version: int
    removed: bool

    def pack(self) -> tuple:
        """Return the fields as a snapshot holds them.

        In snapshots the last field is the content, ``None`` for a removal:
        earlier releases read and write it.

        >>> HistoryItem(7, "c", "ann", "team", "t1", 7, False).pack()
        (7, 'c', 'ann', 'team', 't1', 7, b'')
        """
        *fields, removed = attrs.astuple(self)
        return (*fields, None if removed else b"")

    @classmethod
    def unpack(cls, fields: list) -> "HistoryItem":
        """Read the fields of a snapshot; a content is dropped.

        :param fields: as :meth:`pack` returns them, or with a content
        :returns: the item

        >>> HistoryItem.unpack([7, "c", "ann", "team", "t1", 7, b"x"]).removed
        False
        """
        *rest, spec = fields
        return cls(*rest, spec is None)
