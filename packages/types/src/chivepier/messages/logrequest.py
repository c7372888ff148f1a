"""The LogRequest message."""

from chivepier.messages.registry import message


@message(74)
class LogRequest:
    """Ask a voter how far its log reaches."""

    cluster: str
