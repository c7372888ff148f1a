"""Rest for a time that can't be read."""

import attrs


@attrs.frozen
class InvalidBackoff:
    """The answer asks for rest, and not in seconds that can be read."""
