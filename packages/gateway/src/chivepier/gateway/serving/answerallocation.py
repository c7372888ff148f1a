"""Memory allocated to one answer that is read whole."""

import collections.abc

import attrs


@attrs.define
class AnswerAllocation:
    """The part of the shared answer memory that one answer takes.

    :param resize: changes its size: from the current bytes, to new ones
    :param used_bytes: size of the answer so far
    """

    resize: collections.abc.Callable[[int, int], None]
    used_bytes: int = 0

    def extend(self, count: int) -> None:
        """Allocate memory for received bytes.

        :param count: number of bytes
        :raises BrokenAnswerError: if the answer is too large
        """
        used = self.used_bytes + count
        self.resize(self.used_bytes, used)
        self.used_bytes = used

    def close(self) -> None:
        """Free the memory."""
        self.resize(self.used_bytes, 0)
        self.used_bytes = 0
