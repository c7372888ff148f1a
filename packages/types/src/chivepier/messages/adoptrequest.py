"""The AdoptRequest message."""

from chivepier.messages.permitrequest import PermitRequest
from chivepier.messages.registry import message


@message(105)
class AdoptRequest:
    """An entry resumes a generation that already runs at a target."""

    request: PermitRequest
    target: str
    tokens: int
