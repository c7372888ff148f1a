"""The error raised for an invalid configuration."""


class ConfigurationError(ValueError):
    """Raised for a malformed or inconsistent configuration.

    The message names the invalid part to the sender; the configuration in
    force stays.
    """
