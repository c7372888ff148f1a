"""Why a target is called."""

import enum


class CallPurpose(enum.Enum):
    """The purpose of a call, which decides whether it is permitted.

    ``START`` is new work: a request or a reservation for one. ``RESUME``
    resumes a generation from a KV cache at the target; it would be lost
    otherwise. ``CONTROL`` concerns generations and copies that are already
    there: to migrate a generation or to free a copy.
    """

    START = "start"
    RESUME = "go_on"
    CONTROL = "order"
