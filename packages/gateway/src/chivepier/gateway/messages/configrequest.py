"""The ConfigRequest message."""

from chivepier.messages.registry import message


@message(154)
class ConfigRequest:
    """Requests the latest configuration known to the receiver.

    ``confirmed`` requires a linearizable read: the answer must include every
    write that was acknowledged before.
    """

    confirmed: bool
