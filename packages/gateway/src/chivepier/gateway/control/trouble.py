"""The fields of log lines that tell why a voter has no part."""

import typing

from chivepier.state import Condition


def describe_trouble(condition: Condition) -> dict[str, typing.Any]:
    """Return what may keep a voter from its part, the worst first.

    Records cut lines, so what is as it should be is left out.

    >>> quiet = Condition(
    ...     stopped="", refusal="", refused=0.0, writing=0.0, locked=0.0,
    ...     quiet=16.2, attempts=18, stood=0.3, ended="no majority"
    ... )
    >>> describe_trouble(quiet)
    {'stood_ms': 300, 'stood': 18, 'ended': 'no majority', 'quiet_ms': 16200}

    :param condition: what the voter says of itself
    :returns: fields, in their order
    """
    fields: dict[str, typing.Any] = {}
    if condition.stopped:
        fields["stopped"] = condition.stopped
    if condition.refusal:
        fields["refused_ms"] = round(1000 * condition.refused)
        fields["disk"] = condition.refusal
    if condition.writing:
        fields["write_ms"] = round(1000 * condition.writing)
    if condition.locked:
        fields["lock_ms"] = round(1000 * condition.locked)
    if condition.stood >= 0:
        fields["stood_ms"] = round(1000 * condition.stood)
        fields["stood"] = condition.attempts
        fields["ended"] = condition.ended
    return fields | {"quiet_ms": round(1000 * condition.quiet)}
