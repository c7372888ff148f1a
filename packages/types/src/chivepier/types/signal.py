"""Wake-ups for tasks that wait on a condition."""

import asyncio


class Signal:
    """Lets tasks wait until something was set; each set wakes them all."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake every waiting task."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait for the next set.

        :param timeout: seconds, or ``None`` for ever
        :returns: whether it was set in time
        """
        event = self._event
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return False
        return True
