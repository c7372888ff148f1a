"""The ForwardCancel message."""

from chivepier.messages.registry import message


@message(183)
class ForwardCancel:
    """Tells that the answer to a forwarded request is not wanted any more."""

    handle: int
