"""The WriteAnswer message."""

from chivepier.messages.registry import message


@message(157)
class WriteAnswer:
    """Answer to a :class:`WriteRequest`; if not accepted, outcome unknown.

    ``stored`` tells that the content of the request is what is committed under
    its version, and not another one; leaders of earlier releases don't tell.
    """

    accepted: bool
    reason: str
    stored: bool = False
