"""One incarnation of a target."""

import attrs

from chivepier.gateway.targets import Target


@attrs.frozen
class Incarnation:
    """One run of a target, from its start to its end.

    :param instance: the target's name, which later incarnations may share
    :param born: start time in Unix milliseconds; 0 if unknown
    """

    instance: str
    born: int

    @classmethod
    def of(cls, target: Target) -> "Incarnation":
        """Return the incarnation that an announced target belongs to."""
        return cls(target.instance, target.born)
