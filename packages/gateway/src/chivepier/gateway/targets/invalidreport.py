"""A report of a target that can't be read."""

import attrs


@attrs.frozen
class InvalidReport:
    """A report with missing, malformed or impossible figures."""
