"""The PermitRequest message."""

from chivepier.messages.registry import message


@message(80)
class PermitRequest:
    """Ask a shard's owner for a target for one request.

    ``rank`` is 0 for the owner, and counts up for the deputies.
    """

    request: str
    pool: str
    shard: int
    team: str
    template: str
    model: str
    adapter: str
    urgency: int
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]
    zone: str
    entry: str
    patience: float
    excluded: tuple[str, ...]
    rank: int = 0
