"""The FreshAnswer message."""

from chivepier.messages.registry import message


@message(63)
class FreshAnswer:
    """``version``: the newest configuration the member has applied."""

    node: str
    incarnation: int
    version: int
