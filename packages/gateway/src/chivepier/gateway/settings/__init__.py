"""Settings that the programs read at their start."""

from chivepier.gateway.settings.entrysettings import DEFAULT_BODY_BYTES
from chivepier.gateway.settings.entrysettings import EntrySettings
from chivepier.gateway.settings.votersettings import VoterSettings

__all__ = ["EntrySettings", "DEFAULT_BODY_BYTES", "VoterSettings"]
