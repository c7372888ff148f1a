"""The decision not to run a request."""

import attrs

from chivepier.types import ErrorKind


@attrs.frozen
class Refusal:
    """The request isn't run; come back after so many seconds."""

    request: str
    kind: ErrorKind
    message: str
    retry_after: float
