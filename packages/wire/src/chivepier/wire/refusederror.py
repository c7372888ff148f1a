"""The error raised by a handler that rejects a message."""


class RefusedError(ValueError):
    """A handler rejects a message; the sender gets the error, without a log.

    A sender that does not know the current recipient may retry many times a
    second, and a log line for each retry would flood the log.
    """
