"""Taking part again once the disk accepts writes."""

from chivepier.state.core import Core
from chivepier.state.storagefailederror import StorageFailedError

# Seconds between two attempts: callers wait for less than a second.
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.25, 1.0
# Longest share of the time for attempts: a long log takes a processor.
MAX_SHARE = 0.2


class Recovery:
    """One task that writes the folder anew after a write was refused."""

    def __init__(self, core: Core):
        self._core = core

    async def run(self) -> None:
        """Try for as long as the voter runs and its disk refuses writes."""
        core = self._core
        pause = MIN_PAUSE_SECONDS
        while core.error is None:
            if core.refusal is None:
                await core.suspended.wait()
                pause = MIN_PAUSE_SECONDS
                continue
            await core.clock.sleep(pause)
            began = core.clock.monotonic()
            await self._try()
            seconds = core.clock.monotonic() - began
            pause = min(
                max(MIN_PAUSE_SECONDS, seconds / MAX_SHARE), MAX_PAUSE_SECONDS
            )

    async def _try(self) -> None:
        core = self._core
        async with core.lock:
            try:
                await core.store(core.storage.renew())
            except StorageFailedError:
                return
            core.resume()
