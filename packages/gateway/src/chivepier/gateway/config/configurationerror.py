"""The error of a configuration that can't be taken."""


class ConfigurationError(ValueError):
    """A configuration that is malformed or contradicts itself.

    Whoever sent it is told which part, and nothing changes.
    """
