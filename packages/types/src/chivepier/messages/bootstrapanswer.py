"""The BootstrapAnswer message."""

from chivepier.messages.registry import message


@message(13)
class BootstrapAnswer:
    """Whether the instance took part in founding the cluster."""

    accepted: bool
    message: str
