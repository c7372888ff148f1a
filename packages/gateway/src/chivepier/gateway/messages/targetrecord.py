"""The TargetRecord message."""

from chivepier.messages.registry import message


@message(150)
class TargetRecord:
    """The last announcement of a target.

    ``born`` is the target's start in Unix milliseconds, and ``number`` orders
    the announcements since. ``age`` is the number of seconds since the
    announcement, sent as an age because clocks of nodes differ.
    ``software_version`` is empty if the sender does not know it.
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
    software_version: str = ""
