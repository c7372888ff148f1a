"""Why a configuration may not be the newest."""

import enum


class Doubt(enum.Enum):
    """What an entry lacks to tell that its configuration is the newest."""

    NO_CONFIGURATION = "no configuration is known yet"
    NEWER_TOLD = "a newer one was told, and is not held yet"
    NO_WORD = "no voter that knows the newest was asked of late"
