"""How one error kind is answered."""

import attrs


@attrs.frozen
class ErrorRule:
    """HTTP status, exit code of the command line, and default retry hint.

    ``retry_after`` is in seconds; ``None`` means a retry cannot help.
    """

    status: int
    exit_code: int
    retry_after: float | None
