"""An entry: serves callers and follows the voters."""

from chivepier.gateway.entry.entry import Entry

__all__ = ["Entry"]
