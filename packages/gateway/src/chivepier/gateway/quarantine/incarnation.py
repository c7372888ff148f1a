"""One life of a target."""

import attrs

from chivepier.gateway.targets import Target


@attrs.frozen
class Incarnation:
    """From one start of a target to its end.

    :param instance: its name, which the next life may have, too
    :param born: Unix milliseconds of its start; 0 where it does not tell
    """

    instance: str
    born: int

    @classmethod
    def of(cls, target: Target) -> "Incarnation":
        """Return the life that an announcement is of."""
        return cls(target.instance, target.born)
