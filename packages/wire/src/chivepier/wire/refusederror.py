"""The error of a message that was meant for somebody else."""


class RefusedError(ValueError):
    """A handler refuses a message; the sender is told, nothing is logged.

    A sender that can't know better repeats itself many times a second, and
    one line each would bury the log.
    """
