"""Announcing a stand-in target to chivepier."""

import asyncio
import collections.abc
import itertools
import time

import aiohttp

FALLBACK_SECONDS = 0.5


class Announcer:
    """Tells any entry instance what the target is, again and again.

    :param addresses: entry addresses to try
    :param key: the deployment key
    :param describe: returns the current announcement's fields
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        key: str,
        describe: collections.abc.Callable[[], dict],
    ):
        self._addresses = list(addresses)
        self._key = key
        self._describe = describe
        self._incarnation = time.time_ns() // 1_000_000
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Announce for as long as the target lives."""
        async with aiohttp.ClientSession() as http:
            while True:
                await asyncio.sleep(await self.announce(http))

    async def announce(self, http: aiohttp.ClientSession) -> float:
        """Announce once.

        :param http: the session to use
        :returns: seconds until the next announcement
        """
        body = self._describe()
        body["incarnation"] = self._incarnation
        body["sequence"] = next(self._numbers)
        headers = {"Authorization": f"Bearer {self._key}"}
        for address in list(self._addresses):
            try:
                async with http.post(
                    f"http://{address}/v1/targets",
                    json=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=2),
                ) as answer:
                    if answer.status == 200:
                        return (await answer.json())["interval"]
            except (aiohttp.ClientError, TimeoutError):
                pass
            self._addresses.append(self._addresses.pop(0))
        return FALLBACK_SECONDS
