"""The decision to run a request."""

import attrs


@attrs.frozen
class Grant:
    """The request runs at the target under the permit."""

    request: str
    permit: int
    target: str
