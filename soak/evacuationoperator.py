"""Orders of the soak's operator about availability zones."""

import asyncio
import random
import time

import aiohttp
import attrs

# Seconds after an acknowledgement from which nothing may reach the zone.
IN_FORCE_SECONDS = 5.0
# Seconds for one call, after which another voter is asked.
CALL_SECONDS = 1.5


@attrs.define
class EvacuationOperator:
    """Evacuates one zone at a time and takes it back.

    :param controls: addresses of the voters
    :param rng: draws voters
    :param evacuated: when each evacuated zone's order was acknowledged
    """

    controls: list[str]
    rng: random.Random
    evacuated: dict[str, float] = attrs.field(factory=dict)
    acknowledged_orders: int = 0

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether nothing may reach a zone's targets any more."""
        at = self.evacuated.get(zone)
        return at is not None and time.monotonic() - at > IN_FORCE_SECONDS

    async def evacuate_for(self, session, zone: str, seconds: float) -> None:
        """Evacuate a zone for some seconds.

        :param session: to speak to voters
        :param zone: the zone
        :param seconds: from the acknowledgement until it is taken back
        """
        await self._send(session, "POST", zone)
        self.evacuated[zone] = time.monotonic()
        try:
            await asyncio.sleep(seconds)
        finally:
            # from now on requests may reach it again
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
