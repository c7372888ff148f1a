"""Links between voters of which open connections go silent one way."""

import asyncio
import contextlib
import random

from soak.process import Process
from soak.proxy import LOST_ANSWERS
from soak.proxy import LOST_SENT
from soak.proxy import Proxy
from soak.voterlinks import PEER_PORT

# Founding voters and those that replace them; later ones have no links.
PLACES = 10
# Third byte of the addresses at which the first voter reaches the others.
FIRST_HOST = 80
# Range of the pauses between two silences, and of the time in which a
# connection that carries anything goes silent for good.
PAUSE_SECONDS, SILENCE_SECONDS = (0.5, 4.0), (0.2, 0.6)


class SilentVoters:
    """Silences one direction of open connections; new ones work.

    :param block: second byte of the loopback addresses
    :param rng: random number generator of its own
    :ivar silences: how many times connections went silent
    """

    def __init__(self, block: int, rng: random.Random):
        self._block = block
        self._rng = rng
        self._stack = contextlib.AsyncExitStack()
        self.silences = 0
        places = range(1, PLACES + 1)
        self._links = {
            (start, end): Proxy(
                f"127.{block}.{FIRST_HOST + start}.{end}:{PEER_PORT}",
                self._make_address(end),
                rng,
            )
            for start in places
            for end in places
            if start != end
        }

    def _make_address(self, place: int) -> str:
        return f"127.{self._block}.1.{place}:{PEER_PORT}"

    def link(self, voter: Process) -> None:
        """Let a voter that is not started yet reach the others by links."""
        place = int(voter.ip.rpartition(".")[2])
        voter.links |= {
            self._make_address(end): link.address
            for (start, end), link in self._links.items()
            if start == place
        }

    async def __aenter__(self) -> "SilentVoters":
        for link in self._links.values():
            await self._stack.enter_async_context(link)
        return self

    async def __aexit__(self, *exc) -> None:
        await self._stack.aclose()

    def count_silenced(self) -> int:
        """Return how many connections have gone silent."""
        return sum(link.silenced_connections for link in self._links.values())

    async def disturb(self, voters: list[Process]) -> None:
        """Silence connections again and again until cancelled.

        :param voters: those that run, as the list is at that time
        """
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            places = [int(v.ip.rpartition(".")[2]) for v in voters]
            chosen = self._choose([p for p in places if p <= PLACES])
            for link, mode in chosen:
                link.fault_mode = mode
            self.silences += bool(chosen)
            await asyncio.sleep(self._rng.uniform(*SILENCE_SECONDS))
            for link, _ in chosen:
                link.fault_mode = ""

    def _choose(self, places: list[int]) -> list[tuple[Proxy, str]]:
        """Return the links that go silent, and in which direction."""
        if len(places) < 2:
            return []
        one, other = self._rng.sample(places, 2)
        if self._rng.random() < 0.5:
            mode = self._rng.choice((LOST_SENT, LOST_ANSWERS))
            return [(self._links[one, other], mode)]
        # all that one voter sends, or all that it is sent
        out, back = self._rng.choice(
            ((LOST_SENT, LOST_ANSWERS), (LOST_ANSWERS, LOST_SENT))
        )
        others = [place for place in places if place != one]
        return [(self._links[one, p], out) for p in others] + [
            (self._links[p, one], back) for p in others
        ]
