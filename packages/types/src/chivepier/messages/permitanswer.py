"""The PermitAnswer message."""

from chivepier.messages.registry import message


@message(81)
class PermitAnswer:
    """A permit and its target, or a refusal with its error kind."""

    permit: int
    target: str
    address: str
    fence: int
    error: str
    message: str
    retry_after: float
