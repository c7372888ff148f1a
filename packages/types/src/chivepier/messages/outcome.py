"""The Outcome message."""

from chivepier.messages.registry import message


@message(50)
class Outcome:
    """How a claimed request ended; ``state`` is a :class:`ClaimState`."""

    state: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
