"""The ClaimCommand message."""

from chivepier.messages.registry import message


@message(45)
class ClaimCommand:
    """Claim a non-idempotent request's key before its dispatch."""

    team: str
    key: str
    digest: bytes
    request: str
    node: str
    incarnation: int
    claimed_at: int
