"""The link from one entry to one target, which can be cut."""

import asyncio
import enum
import random
import socket

from soak.process import Process
from soak.proxy import Proxy

# Seconds after the begin of a cut from which callers must be served like those
# of other entries.
PROPAGATION_SECONDS = 3.0
# Connections that fill the queue of a listener whose backlog is zero; the
# kernel drops what comes after, so that later attempts hang.
FILLING_CONNECTIONS = 3


class Cut(enum.Enum):
    """What a link does while it is cut.

    ``REFUSED`` refuses new connections and leaves open ones alone, ``RESET``
    resets these too, and ``SILENT`` holds all bytes back while new connections
    hang.
    """

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"


class TargetLink(Proxy):
    """Forwards one entry's connections to one target, unless it is cut.

    :param address: address at which the entry reaches the target
    :param upstream: address of the target
    :param rng: random number generator of the proxy
    """

    def __init__(self, address: str, upstream: str, rng: random.Random):
        super().__init__(address, upstream, rng)
        self._fillers: list[socket.socket] = []
        self.entry: str | None = None
        self.is_cut = False

    async def __aexit__(self, *exc) -> None:
        self._stop_hanging()
        self.held.clear()
        await super().__aexit__(*exc)

    def leads_to(self, address: str) -> bool:
        """Tell whether the link ends at an address."""
        return self._upstream == address

    def _find_sender(self, writer: asyncio.StreamWriter) -> str | None:
        """Return the entry whose link this is."""
        return self.entry

    def cut(self, shape: Cut) -> None:
        """Cut the link; listening ends at once."""
        self.is_cut = True
        self._server.close()
        match shape:
            case Cut.RESET:
                self.reset()
            case Cut.SILENT:
                self.held.set()
                self._hang()

    async def heal(self) -> None:
        """End the cut; bytes that were held back arrive."""
        self._stop_hanging()
        self.held.clear()
        self.is_cut = False
        await self.listen()

    async def listen(self) -> None:
        """Accept connections, unless the link is cut."""
        if not self.is_cut:
            await super().listen()

    def _hang(self) -> None:
        host, port = self.address.split(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._fillers.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)

    def _stop_hanging(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()


def link_entries(
    entries: list[Process], addresses: list[str], rng: random.Random
) -> dict[str, list[TargetLink]]:
    """Give each entry a link of its own to each target.

    :param entries: entries, which are not started yet
    :param addresses: addresses that the targets announce
    :param rng: random number generator of the links
    :returns: the links, to be entered, by the address of the entry
    """
    links = {}
    for number, entry in enumerate(entries, 1):
        base = entry.ip.rsplit(".", 2)[0]
        own = [
            TargetLink(f"{base}.{10 + number}.{n}:8080", address, rng)
            for n, address in enumerate(addresses, 1)
        ]
        for link in own:
            link.entry = entry.ip
        entry.links = {
            address: link.address for address, link in zip(addresses, own)
        }
        links[entry.ip] = own
    return links


async def heal_all(links: list[TargetLink]) -> None:
    """End the cuts of several links."""
    await asyncio.gather(*(link.heal() for link in links))
