"""Whether the targets of a service can be reached from here."""

import enum


class ReachState(enum.Enum):
    """Whether connections from this entry to the targets of a service work.

    ``RETURNING`` follows ``LOST`` for some seconds, in which only a part of
    the requests is sent from here.
    """

    REACHED = "reached"
    LOST = "lost"
    RETURNING = "returning"
