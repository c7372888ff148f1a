"""What the body of one request takes."""

import collections.abc

import attrs


@attrs.define
class BodyShare:
    """What one body takes so far of the room that all share.

    :param grow: takes more of that room
    :param taken: bytes
    """

    grow: collections.abc.Callable[[int], None]
    taken: int = 0

    def take(self, count: int) -> None:
        """Take room for bytes that have come.

        :param count: of them
        :raises RequestError: when there is none; nothing has run
        """
        self.grow(count)
        self.taken += count
