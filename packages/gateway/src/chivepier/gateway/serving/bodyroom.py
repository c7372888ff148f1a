"""How much memory the bodies of all callers may take."""

import collections.abc
import contextlib

import attrs

from chivepier.gateway.serving.bodyshare import BodyShare
from chivepier.types import ErrorKind
from chivepier.types import RequestError


@attrs.define
class BodyRoom:
    """Bounds the bodies that are kept at the same time.

    A body is kept until its request has ended, as it may have to be sent
    again. Each is bounded by the configuration, but many together end the
    process, with all that it relays; their callers send them again at the next
    instance, and end that one. What finds no room is refused, true as to
    having run nowhere.

    >>> room = BodyRoom(10)
    >>> with room.open() as share:
    ...     share.take(8)
    ...     room.taken
    8
    >>> room.taken
    0

    :param most: bytes of all bodies together
    :param taken: bytes that are kept now
    """

    most: int
    taken: int = 0

    @contextlib.contextmanager
    def open(self) -> collections.abc.Iterator[BodyShare]:
        """Give a request a share, until it has ended."""
        share = BodyShare(self._grow)
        try:
            yield share
        finally:
            self.taken -= share.taken

    def _grow(self, count: int) -> None:
        if self.taken + count > self.most:
            text = "too many bodies are being sent to this instance"
            raise RequestError.of(ErrorKind.OVERLOADED, text)
        self.taken += count
