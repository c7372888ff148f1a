"""An answer that requests no backoff."""

import attrs


@attrs.frozen
class NoBackoff:
    """The answer requests no backoff."""
