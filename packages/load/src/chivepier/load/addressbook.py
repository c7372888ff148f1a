"""The entry addresses a caller keeps for a while."""

import aiohttp

from chivepier.types import Clock

ASK_SECONDS = 2.0


class AddressBook:
    """Asks the system for addresses and keeps the answer for its life.

    :param first: addresses known from settings, to ask at first
    """

    def __init__(
        self,
        clock: Clock,
        http: aiohttp.ClientSession,
        first: tuple,
        zone: str,
    ):
        self._clock = clock
        self._http = http
        self._first = list(first)
        self._zone = zone
        self._known: list[str] = []
        self._until = float("-inf")

    async def choose(self, number: int) -> str:
        """Return an address.

        :param number: spreads requests over the addresses
        :returns: ``ip:port``
        :raises OSError: when no instance answers
        """
        if self._clock.monotonic() >= self._until:
            await self._ask()
        return self._known[number % len(self._known)]

    def drop(self, address: str) -> None:
        """Forget an address that refused the connection."""
        self._known = [a for a in self._known if a != address]
        if not self._known:
            self._until = float("-inf")

    async def _ask(self) -> None:
        for address in [*self._known, *self._first]:
            try:
                async with self._http.get(
                    f"http://{address}/v1/addresses?zone={self._zone}",
                    timeout=aiohttp.ClientTimeout(total=ASK_SECONDS),
                ) as answer:
                    body = await answer.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if answer.status == 200 and body["addresses"]:
                self._known = [a["address"] for a in body["addresses"]]
                self._until = self._clock.monotonic() + body["ttl"]
                return
        raise OSError("no entry instance answers")
