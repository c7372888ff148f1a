"""A target that starts again all the time."""

import asyncio
import contextlib
import itertools

import aiohttp

# Seconds between two starts: what is pushed for each follows within the time
# after which a link on which nothing arrives is doubted.
START_SECONDS = 0.2


class RestlessTarget:
    """Announces one start after the other to one voter, which pushes each.

    :param name: name of its instance
    :param control: control address of the voter
    """

    def __init__(self, name: str, control: str):
        self._name = name
        self._url = f"http://{control}/chivepier/instances/{name}"

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Start again and again until cancelled."""
        for born in itertools.count(1):
            body = {
                "service": "restless",
                "address": "127.0.0.1:9",
                "zone": "z",
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "seq": born,
                "born": born,
                "cold-left-ms": 0,
            }
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.put(self._url, json=body):
                    pass
            await asyncio.sleep(START_SECONDS)
