"""The SnapshotRequest message."""

from chivepier.messages.registry import message


@message(5)
class SnapshotRequest:
    """A part of a snapshot, sent to a voter that lags far behind."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    done: bool
    cluster: str = ""
    voter: str = ""
