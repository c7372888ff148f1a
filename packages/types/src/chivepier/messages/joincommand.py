"""The JoinCommand message."""

from chivepier.messages.member import Member
from chivepier.messages.registry import message


@message(42)
class JoinCommand:
    """A member joins, or changes what it says of itself."""

    member: Member
