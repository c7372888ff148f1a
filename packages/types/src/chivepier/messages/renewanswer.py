"""The RenewAnswer message."""

from chivepier.messages.registry import message


@message(67)
class RenewAnswer:
    """``leader`` is an address; ``in_force``: version that no node lacks."""

    granted: bool
    leader: str
    version: int
    in_force: int
