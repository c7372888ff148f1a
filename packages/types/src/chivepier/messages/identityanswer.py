"""The IdentityAnswer message."""

from chivepier.messages.registry import message


@message(9)
class IdentityAnswer:
    """``cluster`` is empty while the data folder is new."""

    node: str
    name: str
    cluster: str
    disk: bool
