"""The ForwardRead message."""

from chivepier.messages.registry import message


@message(182)
class ForwardRead:
    """Request for the next part of the answer to a forwarded request.

    ``offset`` is the number of bytes of the body that have arrived; what lies
    before it is no longer kept.
    """

    handle: int
    offset: int
