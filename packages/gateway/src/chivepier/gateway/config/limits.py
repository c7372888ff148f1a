"""Limits on callers' connections."""

import attrs


@attrs.frozen(kw_only=True)
class Limits:
    """Size and time limits of a caller's connection.

    :param header_bytes: maximum size of a request's head, in bytes
    :param body_bytes: maximum size of a request's body, in bytes
    :param header_seconds: maximum seconds until the head has arrived
    :param idle_seconds: maximum seconds for which a connection may be idle
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
