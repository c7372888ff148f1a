"""An answer whose rate limit is not a number."""

import attrs


@attrs.frozen
class InvalidLimit:
    """The answer states a rate limit that is not a valid number."""
