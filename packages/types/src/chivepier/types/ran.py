"""Whether a failed request ran."""

import enum


class Ran(enum.Enum):
    """What is known about a request's execution.

    ``NO`` is said only where it is proven: the request was never sent, the
    connection was refused, or the target itself said so.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
