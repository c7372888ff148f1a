"""The log of a scenario: what callers and targets saw, and its own delays."""

import asyncio
import contextlib
import os
import pathlib

from chivepier.gateway.eventlog import EventLog
from soak.reply import Reply

FILE_NAME = "soak.log"
# Interval between two looks at the clock, in seconds.
POLL_SECONDS = 0.05
# Delay of the scenario's own loop from which it is logged, in seconds.
MIN_LAG_SECONDS = 0.05


class RunLog:
    """Writes the events of one scenario beside the logs of its processes.

    Targets, proxies and callers share one loop, so what they measure is late
    when this loop is: its delays are logged too.

    :param folder: directory for the log
    """

    def __init__(self, folder: pathlib.Path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(folder / FILE_NAME, flags, 0o644)
        self._log = EventLog("soak", self._descriptor)
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "RunLog":
        self._task = asyncio.create_task(self._watch_lag())
        return self

    async def __aexit__(self, *exc) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        with contextlib.suppress(OSError):
            os.close(self._descriptor)

    def write(self, event: str, **fields) -> None:
        """Log an event."""
        self._log.info(event, **fields)

    def write_reply(self, identity: str, entry: str, reply: Reply) -> None:
        """Log the outcome of a request, as its caller saw it.

        :param identity: the request's id
        :param entry: address of the entry that was asked
        :param reply: the outcome
        """
        self.write(
            "reply",
            id=identity,
            entry=entry,
            status=reply.status,
            ms=round(1000 * reply.seconds),
            retry_after=reply.retry_after,
            reason=reply.reason,
        )

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + POLL_SECONDS
            await asyncio.sleep(POLL_SECONDS)
            lag = loop.time() - due
            if lag >= MIN_LAG_SECONDS:
                self.write("late", ms=round(1000 * lag))
