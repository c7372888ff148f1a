"""What happens to a request that looks for a place."""

import enum


class PlaceOutcome(enum.Enum):
    """Decision on a request, or how its wait for a place ended.

    ``FREE`` requests have a place, ``UNREPORTED`` ones may have one, ``FULL``
    ones wait, ``OVER`` ones have waited for as long as they may, ``HOPELESS``
    ones would begin beyond their deadline, and the callers of ``LEFT`` ones
    have gone.
    """

    FREE = "free"
    UNREPORTED = "unreported"
    FULL = "full"
    OVER = "over"
    HOPELESS = "hopeless"
    LEFT = "left"
