"""The AppendRequest message."""

from chivepier.messages.entry import Entry
from chivepier.messages.registry import message


@message(3)
class AppendRequest:
    """Entries after ``prev_index``, or none for a heartbeat.

    ``leads`` tells that the leader held its lease as it sent this: nobody else
    had committed anything. Leaders of earlier releases don't tell. ``ends``
    tells that it leads no more: nobody waits for its lease to run out.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    cluster: str = ""
    voter: str = ""
    leads: bool = True
    ends: bool = False
