"""The SecretCommand message."""

from chivepier.types.messages.registry import message


@message(47)
class SecretCommand:
    """The key that authenticates resume handles."""

    secret: bytes
