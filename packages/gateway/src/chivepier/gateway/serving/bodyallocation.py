"""Memory allocated to the body of one request."""

import collections.abc

import attrs


@attrs.define
class BodyAllocation:
    """The part of the shared body memory that one body uses.

    :param reserve: resizes it: from the current bytes, to new ones
    :param used_bytes: size of the body so far
    """

    reserve: collections.abc.Callable[[int, int], None]
    used_bytes: int = 0

    def extend(self, count: int) -> None:
        """Allocate memory for received bytes.

        :param count: number of bytes
        :raises RequestError: if the limit is exceeded; nothing has run
        """
        used = self.used_bytes + count
        self.reserve(self.used_bytes, used)
        self.used_bytes = used
