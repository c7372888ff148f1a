"""One call to a plain service."""

import attrs
import multidict


@attrs.frozen(kw_only=True)
class ServiceCall:
    """What the caller asks of a plain service.

    ``path`` has a leading slash; ``idempotent`` says whether a second
    target may get the call; ``key`` is the caller's ``Idempotency-Key``.
    """

    method: str
    path: str
    query: str
    headers: multidict.CIMultiDict
    body: bytes
    idempotent: bool
    key: str | None
