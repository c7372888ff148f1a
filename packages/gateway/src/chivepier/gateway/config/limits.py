"""What a caller may send."""

import attrs


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on a caller's connection.

    :param header_bytes: of one request's head
    :param body_bytes: of one request's body
    :param header_seconds: for the head to arrive
    :param idle_seconds: for which a connection may stay unused
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
