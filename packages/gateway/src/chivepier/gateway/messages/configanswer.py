"""The ConfigAnswer message."""

import zlib

from chivepier.messages.registry import message


@message(155)
class ConfigAnswer:
    """A configuration as it was sent; ``known`` is false when unsure.

    ``packed`` is its body, compressed: 1,400 routes are some 350 KB, which
    hold up an entry's link of 5 Mbit/s for over half a second.
    """

    known: bool
    version: int
    packed: bytes

    def unpack(self) -> bytes:
        """Return the body, byte for byte as it was sent."""
        return zlib.decompress(self.packed)
