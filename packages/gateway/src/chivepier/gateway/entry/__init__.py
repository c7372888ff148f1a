"""An entry: serves callers and follows the voters."""

from chivepier.gateway.entry.entry import Entry
from chivepier.gateway.entry.entrysettings import EntrySettings

__all__ = ["Entry", "EntrySettings"]
