"""The SecretCommand message."""

from chivepier.messages.registry import message


@message(47)
class SecretCommand:
    """The key that authenticates resume handles."""

    secret: bytes
