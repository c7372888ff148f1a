"""The ConfigAnswer message."""

import zlib

from chivepier.messages.registry import message


@message(155)
class ConfigAnswer:
    """A configuration as it was sent; ``known`` is false when unsure.

    ``packed`` is its body, compressed, as it would hold up an entry's link.
    """

    known: bool
    version: int
    compressed_body: bytes

    def unpack(self) -> bytes:
        """Return the body, byte for byte as it was sent."""
        return zlib.decompress(self.compressed_body)
