"""An entry, which serves callers and synchronizes with the voters."""

from chivepier.gateway.entry.entry import Entry

__all__ = ["Entry"]
