"""Which entry a connection to a target comes from."""

import collections.abc
import contextlib

Address = tuple[str, int]


class Senders:
    """Follows connections through the links of entries and the proxies.

    On loopback all processes share their addresses. A request may come from
    another entry than its caller asked, so the request can't tell it.
    """

    def __init__(self) -> None:
        self._entries: dict[Address, str] = {}

    def find(self, address: Address | None) -> str | None:
        """Return the entry behind a connection, if it is known.

        :param address: address that the connection comes from
        """
        return self._entries.get(address)

    @contextlib.contextmanager
    def note(
        self, address: Address, entry: str | None
    ) -> collections.abc.Iterator[None]:
        """Note which entry a connection is for, until the context is left.

        :param address: address that the connection comes from
        :param entry: address of the entry; ``None`` if it is not known
        """
        if entry is not None:
            self._entries[address] = entry
        try:
            yield
        finally:
            self._entries.pop(address, None)
