"""An answer whose limit is no number."""

import attrs


@attrs.frozen
class InvalidLimit:
    """The target names a limit that is no number."""
