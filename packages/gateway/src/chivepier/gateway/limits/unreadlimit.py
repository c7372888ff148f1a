"""An answer whose limit is no number."""

import attrs


@attrs.frozen
class UnreadLimit:
    """The target names a limit that is no number."""
