"""Limiting the memory of buffered request bodies."""

import collections.abc
import contextlib

import attrs

from chivepier.gateway.serving.bodyallocation import BodyAllocation
from chivepier.types import ErrorKind
from chivepier.types import RequestError

# Largest body that is always taken, in bytes: most announcements, orders and
# short prompts.
SMALL_BODY_BYTES = 4 << 10
# Used share above which memory is scarce: the rest is for newcomers until
# what others hold without need is free.
SCARCE_SHARE = 0.75


@attrs.define
class BodyMemory:
    """Limits the total size of the bodies that are buffered.

    A body is buffered until its request has ended, as it may have to be sent
    again. The configuration limits each body, but many together could exhaust
    the memory of the process and end all its streams; their callers would
    retry at the next instance and exhaust that one. A body beyond the limit
    is rejected, with the information that the request has not run.

    >>> memory = BodyMemory(10)
    >>> with memory.allocate() as body:
    ...     body.extend(8)
    ...     memory.used_bytes
    8
    >>> memory.used_bytes
    0

    :param max_bytes: maximum total size of all bodies
    :param free_bytes: what each body may take whatever the others have, so
        that a few large ones keep nobody else out
    :param used_bytes: current total size
    """

    max_bytes: int
    free_bytes: int = 0
    used_bytes: int = 0

    @property
    def is_scarce(self) -> bool:
        """Whether there is little left."""
        return self.used_bytes > SCARCE_SHARE * self.max_bytes

    @contextlib.contextmanager
    def allocate(self) -> collections.abc.Iterator[BodyAllocation]:
        """Allocate memory to a request until the context is left."""
        allocation = BodyAllocation(self._reserve)
        try:
            yield allocation
        finally:
            self.used_bytes -= allocation.used_bytes

    def _reserve(self, before: int, after: int) -> None:
        used = self.used_bytes + after - before
        if after > self.free_bytes and used > self.max_bytes:
            text = "too many bodies are being sent to this instance"
            raise RequestError.of(ErrorKind.OVERLOADED, text)
        self.used_bytes = used
