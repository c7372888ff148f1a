"""The InflightPermit message."""

from chivepier.messages.registry import message


@message(87)
class InflightPermit:
    """One request in flight, as its entry knows it."""

    request: str
    permit: int
    target: str
    team: str
    template: str
    urgency: int
    prompt_tokens: int
    max_tokens: int
    tokens: int
