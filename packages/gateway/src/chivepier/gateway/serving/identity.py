"""Which process answered at a target's address."""

import enum


class Identity(enum.Enum):
    """The process that answers at the address of an incarnation.

    ``SAME`` is that incarnation, ``OTHER`` another one or another target,
    ``NOBODY`` means that nothing listens there. ``UNKNOWN`` means that there
    was no answer, or none that tells, and ``UNASKED`` that it may not be
    asked now; either may change soon.
    """

    SAME = "same"
    OTHER = "other"
    NOBODY = "nobody"
    UNKNOWN = "unknown"
    UNASKED = "unasked"

    @property
    def is_final(self) -> bool:
        """Whether another question would find nothing else."""
        return self not in (Identity.UNKNOWN, Identity.UNASKED)
