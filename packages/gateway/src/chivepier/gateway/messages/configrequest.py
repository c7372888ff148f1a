"""The ConfigRequest message."""

from chivepier.messages.registry import message


@message(154)
class ConfigRequest:
    """Ask for the newest configuration that the asked node holds.

    ``confirmed``: the answer must hold all that was accepted before.
    """

    confirmed: bool
