"""The ConfirmRequest message."""

from chivepier.messages.registry import message


@message(102)
class ConfirmRequest:
    """An entry asks whether a permit that came late may still be used."""

    pool: str
    shard: int
    permit: int
