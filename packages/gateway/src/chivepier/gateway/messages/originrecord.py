"""The OriginRecord message."""

from chivepier.messages.registry import message


@message(185)
class OriginRecord:
    """Where one stream began.

    ``team`` and ``attempt`` identify it: the caller's attempt that brought the
    first event. ``software_version`` is that of the targets of ``service``
    that began it. ``age`` is the number of seconds since that was noted, and
    ``left`` for how many more it is kept.
    """

    team: str
    attempt: str
    service: str
    software_version: str
    age: float
    left: float
