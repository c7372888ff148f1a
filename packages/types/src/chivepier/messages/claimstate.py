"""States of a claim."""

import enum


class ClaimState(enum.IntEnum):
    """Where a claimed request stands.

    ``CLAIMED`` may have been dispatched; ``DONE`` has a stored answer;
    ``UNKNOWN`` was dispatched and its outcome never came back; ``RELEASED``
    is proven not to have run, so that the key may be claimed again.
    """

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2
    RELEASED = 3
