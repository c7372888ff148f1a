"""The ConfirmAnswer message."""

from chivepier.messages.registry import message


@message(103)
class ConfirmAnswer:
    """``valid``: the owner counts the permit and its target stays."""

    valid: bool
