"""Settings that the programs read at their start."""

from chivepier.gateway.settings.entrysettings import DEFAULT_ANSWER_BYTES
from chivepier.gateway.settings.entrysettings import DEFAULT_BODY_BYTES
from chivepier.gateway.settings.entrysettings import EntrySettings
from chivepier.gateway.settings.instancelimits import InstanceLimits
from chivepier.gateway.settings.votersettings import VoterSettings

__all__ = [
    "DEFAULT_ANSWER_BYTES",
    "DEFAULT_BODY_BYTES",
    "EntrySettings",
    "InstanceLimits",
    "VoterSettings",
]
