"""The TargetsRequest message."""

from chivepier.messages.registry import message


@message(93)
class TargetsRequest:
    """Ask an owner for the targets of its shards."""

    pool: str
