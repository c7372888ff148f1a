"""Evacuation of availability zones during the soak test."""

import asyncio
import random
import time

import aiohttp
import attrs

# Seconds after an acknowledgement from which no request may reach the zone.
IN_FORCE_SECONDS = 5.0
# Timeout of one call in seconds; the next call goes to a random voter.
CALL_SECONDS = 1.5


@attrs.define
class EvacuationOperator:
    """Evacuates availability zones and ends the evacuations.

    :param controls: control addresses of the voters
    :param rng: random number generator that draws voters
    :param evacuated: for each evacuated zone, the time at which the order was
        acknowledged, in monotonic seconds
    :param acknowledged_orders: number of acknowledged orders
    """

    controls: list[str]
    rng: random.Random
    evacuated: dict[str, float] = attrs.field(factory=dict)
    acknowledged_orders: int = 0

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether no request may reach the targets of a zone."""
        at = self.evacuated.get(zone)
        return at is not None and time.monotonic() - at > IN_FORCE_SECONDS

    async def evacuate_for(self, session, zone: str, seconds: float) -> None:
        """Evacuate a zone for some seconds.

        :param session: HTTP session for calls to voters
        :param zone: name of the zone
        :param seconds: time from the acknowledgement to the end, in seconds
        """
        await self._send(session, "POST", zone)
        self.evacuated[zone] = time.monotonic()
        try:
            await asyncio.sleep(seconds)
        finally:
            # The order to end the evacuation may take effect from now on.
            del self.evacuated[zone]
        await self._send(session, "DELETE", zone)

    async def _send(self, session, method: str, zone: str) -> None:
        while True:
            control = self.rng.choice(self.controls)
            url = f"http://{control}/chivepier/evacuations/{zone}"
            limit = aiohttp.ClientTimeout(total=CALL_SECONDS)
            try:
                async with session.request(
                    method, url, timeout=limit
                ) as answer:
                    if answer.status == 200:
                        self.acknowledged_orders += 1
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
