"""The InForceCommand message."""

from chivepier.messages.registry import message


@message(104)
class InForceCommand:
    """The leader saw this membership epoch come into force.

    A later leader reads from it which older member sets no live node can
    still be using.
    """

    epoch: int
