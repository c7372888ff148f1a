"""What ended the body of an answer."""

import enum


class EndCause(enum.Enum):
    """What ended the body of an answer."""

    # the length or the last chunk tells that the body is whole
    FRAMING = "framing"
    # the connection was closed in order, and nothing else ends the body
    CLOSE = "close"
    # the connection was reset, or closed before the framing allows it
    BREAK = "break"
    # nothing came for too long, or the wait was aborted
    TIMEOUT = "timeout"
