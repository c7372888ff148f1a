"""What the body of one request takes."""

import collections.abc

import attrs


@attrs.define
class BodyAllocation:
    """What one body takes so far of the room that all share.

    :param reserve: takes more of that room
    :param used_bytes: bytes
    """

    reserve: collections.abc.Callable[[int], None]
    used_bytes: int = 0

    def extend(self, count: int) -> None:
        """Take room for bytes that have come.

        :param count: of them
        :raises RequestError: when there is none; nothing has run
        """
        self.reserve(count)
        self.used_bytes += count
