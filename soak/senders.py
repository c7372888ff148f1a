"""What the links of entries and the proxies know of a connection."""

import asyncio
import collections.abc
import contextlib

Address = tuple[str, int]
# Addresses of who made a connection and of who accepted it: one port of the
# first may serve connections to several addresses.
Connection = tuple[Address, Address]
Told = collections.abc.Callable[[float], None]


class Senders:
    """Follows connections through the links of entries and the proxies.

    On loopback all processes share their addresses. A request may come from
    another entry than its caller asked, so the request can't tell it.

    Links, proxies and targets share one loop. When it stands still, what
    arrives is read late and what a target answers leaves late; so times are
    taken where the connection of the entry ends.
    """

    def __init__(self) -> None:
        self._entries: dict[Connection, str] = {}
        self._arrivals: dict[Connection, float] = {}
        self._untold: dict[Connection, list[Told]] = {}

    def find(self, connection: Connection | None) -> str | None:
        """Return the entry behind a connection, if it is known.

        :param connection: who made it and who accepted it
        """
        return self._entries.get(connection)

    def find_arrival(self, connection: Connection | None) -> float | None:
        """Return when the last bytes of a connection arrived, if it is known.

        :param connection: who made it and who accepted it
        :returns: time in monotonic seconds
        """
        return self._arrivals.get(connection)

    def note_arrival(self, connection: Connection, at: float) -> None:
        """Note when bytes arrived that are handed on.

        :param connection: who made it and who accepted it
        :param at: time in monotonic seconds
        """
        self._arrivals[connection] = at

    def call_when_told(self, connection: Connection, told: Told) -> None:
        """Have it told when the next bytes of an answer leave.

        :param connection: who made it and who accepted it
        :param told: called with the time in monotonic seconds; never if the
            other side closes the connection before
        """
        self._untold.setdefault(connection, []).append(told)

    def take_untold(self, connection: Connection) -> list[Told]:
        """Return and forget what is to be told of a connection."""
        return self._untold.pop(connection, [])

    def is_followed(self, connection: Connection | None) -> bool:
        """Tell whether a connection comes through a link or proxy."""
        return connection in self._arrivals

    @contextlib.contextmanager
    def note(
        self, connection: Connection, entry: str | None
    ) -> collections.abc.Iterator[None]:
        """Note which entry a connection is for, until the context is left.

        :param connection: who made it and who accepted it
        :param entry: address of the entry; ``None`` if it is not known
        """
        if entry is not None:
            self._entries[connection] = entry
        try:
            yield
        finally:
            self._entries.pop(connection, None)
            self._arrivals.pop(connection, None)
            self._untold.pop(connection, None)


def name_made(transport: asyncio.BaseTransport) -> Connection:
    """Return what names a connection that was made here."""
    own = transport.get_extra_info("sockname")
    return (own, transport.get_extra_info("peername"))


def name_accepted(transport: asyncio.BaseTransport) -> Connection:
    """Return what names a connection that was accepted here."""
    peer = transport.get_extra_info("peername")
    return (peer, transport.get_extra_info("sockname"))
