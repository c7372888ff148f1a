"""A version on its way into force."""

import attrs


@attrs.define
class Pending:
    """A version that isn't in force yet."""

    version: int
    committed_at: float
    blocked_at: float | None = None
