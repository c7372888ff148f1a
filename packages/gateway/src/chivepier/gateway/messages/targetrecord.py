"""The TargetRecord message."""

from chivepier.messages.registry import message


@message(150)
class TargetRecord:
    """What a target last said of itself.

    ``born`` is the Unix millisecond of the target's start, and ``number``
    orders what it has said since; ``age`` is for how long the sender has held
    it, in seconds, as clocks of nodes differ.
    """

    instance: str
    service: str
    address: str
    zone: str
    state: str
    number: int
    slots: int
    warming: float
    age: float
    born: int = 0
