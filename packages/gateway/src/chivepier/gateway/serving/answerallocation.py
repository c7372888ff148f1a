"""Memory allocated to one answer that is read whole."""

import collections.abc

import attrs


@attrs.define
class AnswerAllocation:
    """The part of the shared answer memory that one answer takes.

    :param resize: changes its size: from the current bytes, to new ones
    :param used_bytes: allocated bytes
    :ivar received_bytes: size of the answer so far
    """

    resize: collections.abc.Callable[[int, int], None]
    used_bytes: int = 0
    received_bytes: int = attrs.field(default=0, init=False)

    def extend(self, count: int) -> None:
        """Allocate memory for received bytes.

        :param count: number of bytes
        :raises BrokenAnswerError: if the answer is too large
        """
        received = self.received_bytes + count
        used = max(self.used_bytes, received)
        self.resize(self.used_bytes, used)
        self.used_bytes, self.received_bytes = used, received

    def close(self) -> None:
        """Free the memory."""
        self.resize(self.used_bytes, 0)
        self.used_bytes = 0
