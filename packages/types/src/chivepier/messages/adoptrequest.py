"""The AdoptRequest message."""

from chivepier.messages.permitrequest import PermitRequest
from chivepier.messages.registry import message


@message(105)
class AdoptRequest:
    """An entry resumes a generation that already runs at a target.

    ``permit`` is the number under which it was started, 0 when unknown.
    """

    request: PermitRequest
    target: str
    tokens: int
    permit: int = 0
