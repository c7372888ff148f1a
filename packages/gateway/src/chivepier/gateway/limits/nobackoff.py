"""No rest is asked for."""

import attrs


@attrs.frozen
class NoBackoff:
    """The answer does not say that its target wants nothing for a while."""
