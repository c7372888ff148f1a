"""How much memory the bodies of all callers may take."""

import collections.abc
import contextlib

import attrs

from chivepier.gateway.serving.bodyallocation import BodyAllocation
from chivepier.types import ErrorKind
from chivepier.types import RequestError


@attrs.define
class BodyMemory:
    """Bounds the bodies that are kept at the same time.

    A body is kept until its request has ended, as it may have to be sent
    again. Each is bounded by the configuration, but many together end the
    process, with all that it relays; their callers send them again at the next
    instance, and end that one. What finds no room is refused, true as to
    having run nowhere.

    >>> memory = BodyMemory(10)
    >>> with memory.allocate() as body:
    ...     body.extend(8)
    ...     memory.used_bytes
    8
    >>> memory.used_bytes
    0

    :param max_bytes: bytes of all bodies together
    :param used_bytes: bytes that are kept now
    """

    max_bytes: int
    used_bytes: int = 0

    @contextlib.contextmanager
    def allocate(self) -> collections.abc.Iterator[BodyAllocation]:
        """Give a request a share, until it has ended."""
        allocation = BodyAllocation(self._reserve)
        try:
            yield allocation
        finally:
            self.used_bytes -= allocation.used_bytes

    def _reserve(self, count: int) -> None:
        if self.used_bytes + count > self.max_bytes:
            text = "too many bodies are being sent to this instance"
            raise RequestError.of(ErrorKind.OVERLOADED, text)
        self.used_bytes += count
