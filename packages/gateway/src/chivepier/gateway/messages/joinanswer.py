"""The JoinAnswer message."""

from chivepier.messages.registry import message


@message(159)
class JoinAnswer:
    """Answer to a :class:`JoinRequest`.

    ``cluster`` identifies the receiver's cluster, ``votes`` is set if the
    asking instance is a voter, and ``voters`` are the voters' addresses.
    """

    cluster: str
    votes: bool
    voters: tuple[str, ...]
