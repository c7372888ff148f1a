"""Limiting the memory of buffered answers."""

import attrs

from chivepier.gateway.serving.answerallocation import AnswerAllocation
from chivepier.gateway.serving.errors import BrokenAnswerError

# Bytes that each answer may take whatever the others have: most answers are
# far smaller.
FREE_BYTES = 64 << 10
# Part of what is left that one answer may take beyond these.
MAX_SHARE = 1 / 16


@attrs.define
class AnswerMemory:
    """Limits what answers take that are read whole before they are passed on.

    An answer may go on without end. It may take a part of what is left only,
    so that several such answers leave room for others.

    >>> memory = AnswerMemory(1 << 20)
    >>> answer = memory.open()
    >>> answer.extend(100 << 10)
    >>> memory.used_bytes == 100 << 10
    True
    >>> answer.close()
    >>> memory.used_bytes
    0

    :param max_bytes: maximum size of all answers beyond their free bytes
    :param used_bytes: current total size of all answers
    """

    max_bytes: int
    used_bytes: int = 0

    def open(self) -> AnswerAllocation:
        """Return the allocation of one answer, to be closed at its end."""
        return AnswerAllocation(self._resize)

    def _resize(self, before: int, after: int) -> None:
        left = max(0, self.max_bytes - (self.used_bytes - before))
        if after > max(before, FREE_BYTES + MAX_SHARE * left):
            raise BrokenAnswerError(f"the answer has more than {before} bytes")
        self.used_bytes += after - before
