"""The UsageReport message."""

from chivepier.messages.registry import message


@message(92)
class UsageReport:
    """Tokens served by team at one owner, exchanged each second."""

    owner: str
    pool: str
    usage: tuple[tuple[str, float], ...]
