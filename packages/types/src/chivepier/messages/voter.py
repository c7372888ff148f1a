"""The Voter message."""

from chivepier.messages.registry import message


@message(11)
class Voter:
    """A voter's identity, made with its data folder, and its address."""

    node: str
    address: str
