"""The EnrolRequest message."""

from chivepier.messages.registry import message


@message(72)
class EnrolRequest:
    """Take entries of this cluster's log, without a vote yet."""

    cluster: str
    node: str
