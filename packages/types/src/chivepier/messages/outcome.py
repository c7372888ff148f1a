"""The Outcome message."""

from chivepier.messages.registry import message


@message(50)
class Outcome:
    """How a claimed request ended; ``state`` is a :class:`ClaimState`.

    ``status`` is 0 where the request ran and its answer isn't kept.
    """

    state: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
