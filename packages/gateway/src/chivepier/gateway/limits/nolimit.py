"""An answer without a rate limit."""

import attrs


@attrs.frozen
class NoLimit:
    """The target does not limit the request rate."""
