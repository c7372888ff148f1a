"""The TargetReport message."""

from chivepier.messages.registry import message


@message(178)
class TargetReport:
    """What one incarnation of a target last reported of its own load.

    ``born`` is the start of the incarnation in Unix milliseconds. ``age_ms``
    is the age of the report when the message was made, in milliseconds; each
    process that relays it adds the time that it held it. ``pace_percent`` is
    the time that work takes there, 100 as usual; 0 if the target reported
    none.
    """

    instance: str
    born: int
    age_ms: int
    running: int
    waiting: int
    slots: int
    pace_percent: int = 0
