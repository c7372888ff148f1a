"""The RenewRequest message."""

from chivepier.messages.member import Member
from chivepier.messages.registry import message


@message(66)
class RenewRequest:
    """Renew a member's lease and acknowledge its configuration."""

    member: Member
    version: int
