"""How well a target suits a stream."""

import enum


class Fit(enum.Enum):
    """Whether a stream meets its objective for pauses at a target.

    In order of preference: ``UNKNOWN`` is a target whose pace isn't known
    yet, while those of others of its service are.

    >>> [fit.value for fit in Fit]
    ['fits', 'unknown', 'unfit']
    """

    FITS = "fits"
    UNKNOWN = "unknown"
    UNFIT = "unfit"
