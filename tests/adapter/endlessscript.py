"""Script of a target that answers without end."""

import asyncio

from soak.endless import ENDLESS
from soak.endless import ENDLESS_STREAMS
from soak.endless import ID_LINE


class EndlessScript:
    """Answers one request until its connection is closed.

    :param kind: what goes on
    :param named: whether the answer names the request
    :ivar sent: bytes that were sent
    :ivar closed: set once the other side has closed the connection
    """

    def __init__(self, kind: str, named: bool = True):
        self._first, self._more = {**ENDLESS, **ENDLESS_STREAMS}[kind]
        if not named:
            self._first = self._first.replace(ID_LINE, b"")
        self.sent = 0
        self.closed = asyncio.Event()

    async def __call__(self, head: bytes, writer) -> None:
        """Write until the connection is closed."""
        try:
            writer.write(self._first)
            while not writer.is_closing():
                writer.write(20 * self._more)
                self.sent += 20 * len(self._more)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        finally:
            self.closed.set()
            writer.close()
