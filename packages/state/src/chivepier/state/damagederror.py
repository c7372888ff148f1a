"""The error of damaged files."""


class DamagedError(Exception):
    """A file of the data folder is damaged before its tail.

    Cutting there would drop entries that may be committed, so the voter
    stops instead and an operator replaces it.
    """
