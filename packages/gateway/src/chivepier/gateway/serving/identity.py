"""Which process answered at a target's address."""

import enum


class Identity(enum.Enum):
    """The process that answers at the address of an incarnation.

    ``SAME`` is that incarnation, ``OTHER`` another one or another target,
    ``NOBODY`` means that nothing listens there, and ``UNKNOWN`` that there was
    no answer, none that tells, or that it may not be asked.
    """

    SAME = "same"
    OTHER = "other"
    NOBODY = "nobody"
    UNKNOWN = "unknown"
