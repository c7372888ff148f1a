"""An answer whose backoff cannot be parsed."""

import attrs


@attrs.frozen
class InvalidBackoff:
    """The answer requests a backoff of a duration that cannot be parsed."""
