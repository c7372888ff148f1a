"""The ConfigAnswer message."""

import zlib

from chivepier.messages.registry import message


@message(155)
class ConfigAnswer:
    """Answer to a :class:`ConfigRequest`.

    ``known`` is false if there is no configuration or it can't be confirmed.
    ``compressed_body`` is its body, compressed so that a large one does not
    delay other messages on the connection.
    """

    known: bool
    version: int
    compressed_body: bytes

    def unpack(self) -> bytes:
        """Return the decompressed body, identical to the operator's bytes."""
        return zlib.decompress(self.compressed_body)
