"""No rest is asked for."""

import attrs


@attrs.frozen
class NoRest:
    """The answer does not say that its target wants nothing for a while."""
