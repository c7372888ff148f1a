"""What one voter's log and state take in memory."""

import attrs


@attrs.frozen(kw_only=True)
class StateSizes:
    """Bytes that a voter holds of operators' contents, by where they are.

    An entry that is both in the log and among the recent ones is held once
    and counted in the log.

    >>> StateSizes(log=30, recent=0, documents=20, snapshot=10).total
    60
    """

    log: int
    recent: int
    documents: int
    snapshot: int

    @property
    def total(self) -> int:
        """All of them."""
        return self.log + self.recent + self.documents + self.snapshot
