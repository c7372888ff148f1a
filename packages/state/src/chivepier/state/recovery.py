"""Taking part again once the disk accepts writes."""

from chivepier.state.core import Core
from chivepier.state.storagefailederror import StorageFailedError

# Seconds between two attempts: callers wait for less than a second.
RETRY_SECONDS = 0.25


class Recovery:
    """One task that writes the folder anew after a write was refused."""

    def __init__(self, core: Core):
        self._core = core

    async def run(self) -> None:
        """Try for as long as the voter runs and its disk refuses writes."""
        core = self._core
        while core.error is None:
            if core.refusal is None:
                await core.suspended.wait()
                continue
            await core.clock.sleep(RETRY_SECONDS)
            await self._try()

    async def _try(self) -> None:
        core = self._core
        async with core.lock:
            try:
                await core.store(core.storage.renew())
            except StorageFailedError:
                return
            core.resume()
